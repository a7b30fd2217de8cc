//! One module for each command.

pub mod adopt;
pub mod arg;
pub mod check;
pub mod dump;
pub mod entry;
mod error;
pub mod evacuate;
pub mod explain;
pub mod let_through;
pub mod local;
pub mod measure;
pub mod publish;
pub mod status;
pub mod usage;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use error::{EXIT_CODES, Error};

use crate::Terminal;

/// All commands with their arguments.
pub fn all() -> [Command; 12] {
    [
        check::command(),
        publish::command(),
        adopt::command(),
        status::command(),
        explain::command(),
        usage::command(),
        dump::command(),
        let_through::command(),
        evacuate::command(),
        entry::command(),
        local::command(),
        measure::command(),
    ]
}

/// Runs the command of this name.
pub async fn run(name: &str, args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    match name {
        "check" => check::run(args, terminal).await,
        "publish" => publish::run(args, terminal).await,
        "adopt" => adopt::run(args, terminal).await,
        "status" => status::run(args, terminal).await,
        "explain" => explain::run(args, terminal).await,
        "usage" => usage::run(args, terminal).await,
        "dump" => dump::run(args, terminal).await,
        "let-through" => let_through::run(args, terminal).await,
        "evacuate" => evacuate::run(args, terminal).await,
        "entry" => entry::run(args, terminal).await,
        "local" => local::run(args, terminal).await,
        "measure" => measure::run(args, terminal).await,
        _ => Err(Error::Failed(format!("there is no command {name}"))),
    }
}

/// Runs a command on threads of its own.
pub fn block_on(command: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new();
    let runtime =
        runtime.map_err(|err| Error::Failed(format!("no threads can be started: {err}")))?;
    runtime.block_on(command)
}

/// Says why a command did not succeed, and with which code the process ends.
pub fn end(done: Result<(), Error>, terminal: &mut Terminal<'_>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            terminal.warn(&why);
            ExitCode::from(why.exit_code())
        }
    }
}

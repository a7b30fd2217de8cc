//! One module for each command.

pub mod adopt;
pub mod arg;
pub mod bench;
pub mod check;
pub mod dump;
mod error;
pub mod explain;
pub mod local;
pub mod measure;
pub mod publish;
pub mod status;
pub mod usage;

use clap::{ArgMatches, Command};

pub use error::{EXIT_CODES, Error};

use crate::Terminal;

/// All commands with their arguments.
pub fn all() -> [Command; 10] {
    [
        check::command(),
        publish::command(),
        adopt::command(),
        status::command(),
        explain::command(),
        usage::command(),
        dump::command(),
        local::command(),
        measure::command(),
        bench::command(),
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
        "local" => local::run(args, terminal).await,
        "measure" => measure::run(args, terminal).await,
        "bench" => bench::run(args, terminal).await,
        _ => Err(Error::Failed(format!("there is no command {name}"))),
    }
}

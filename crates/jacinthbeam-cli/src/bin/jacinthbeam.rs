//! The operators' command line.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use jacinthbeam_cli::{command, logging};

fn main() -> ExitCode {
    let matches = Command::new("jacinthbeam")
        .version(clap::crate_version!())
        .about("Router for servers that own keys exclusively: the operators' tool")
        .arg(
            Arg::new("verbose")
                .short('v')
                .long("verbose")
                .global(true)
                .action(ArgAction::Count)
                .help("Log what is decided; twice for more"),
        )
        .subcommand_required(true)
        .subcommand(command::local::command())
        .get_matches();
    let level = match matches.get_count("verbose") {
        0 => log::LevelFilter::Warn,
        1 => log::LevelFilter::Info,
        _ => log::LevelFilter::Debug,
    };
    logging::start(level);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("error: no threads can be started: {err}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(async {
        match matches.subcommand() {
            Some(("local", args)) => command::local::run(args).await,
            _ => Err("there is no such command".into()),
        }
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("error: {why}");
            ExitCode::FAILURE
        }
    }
}

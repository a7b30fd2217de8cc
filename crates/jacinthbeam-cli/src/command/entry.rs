//! `jacinthbeam entry`: the daemon of one host.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tracing::level_filters::LevelFilter;

use super::{EXIT_CODES, Error};
use crate::{Terminal, daemon};

const LONG: &str = "\
Run the daemon of one host until SIGTERM or an interrupt. It says at once that it takes no new callers, answers what it has
taken, and ends. Logs go to standard output, one JSON object a line.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("entry")
        .about("Run the daemon of one host")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of this host, JSON with comments"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("info")
                .value_parser(value_parser!(LevelFilter))
                .help("Least urgent lines to log: error, warn, info, debug"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only say whether the settings can be used"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let path: &PathBuf = args.get_one("settings").expect("it is required");
    if args.get_flag("check") {
        daemon::settings(path)?;
        terminal.say(format_args!("{}: the settings can be used", path.display()));
        return Ok(());
    }
    daemon::run(path, *args.get_one("log").expect("it has a default")).await
}

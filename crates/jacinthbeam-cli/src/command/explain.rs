//! `jacinthbeam explain`: what became of one request.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::host::explain;

use super::{EXIT_CODES, Error};
use crate::Terminal;

const LONG: &str = "\
Print what became of one request, in order of time, from the logs of the hosts: its own lines, and what happened around it to
the backend servers that it was sent to.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Say what became of one request, from the logs of the hosts")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("The name of the attempt, as in the header of the answer"),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Logs, one file for each host"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let id: &String = args.get_one("request").expect("it is required");
    let paths: Vec<&PathBuf> = args.get_many("logs").expect("they are required").collect();
    let story = explain::from_files(id, &paths).map_err(|err| Error::Failed(err.to_string()))?;
    story.iter().for_each(|line| terminal.say(line));
    Ok(())
}

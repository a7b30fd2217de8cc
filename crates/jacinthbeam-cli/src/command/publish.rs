//! `jacinthbeam publish`: brings the edits of a folder into force.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam::{
    config::FileName, entry::process::identity::draw_incarnation, types::clock::SystemClock,
};

use super::{EXIT_CODES, Error, arg};
use crate::{
    Terminal,
    publication::{Options, publish},
};

const ABOUT: &str = "Bring the edits of a folder into force";
const LONG: &str = "\
Bring the edits of a folder into force.

Reads the folder until two reads agree, folds the log, compares both with what the folder was last in sync with, and
appends all edits as one record. The record is accepted as a whole or not at all. The command ends when it has read its
own record back: it says the version that is in force, or which file is in conflict with whose version.

Files that others changed and that are not edited here are left alone. To leave out a file from the folder removes it
from the configuration.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("publish")
        .about(ABOUT)
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::folder())
        .arg(arg::log().required(true))
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .value_parser(arg::time)
                .help("Keep trying for this long while the log is down, such as 30s or 5m"),
        )
        .arg(
            Arg::new("put-back")
                .long("put-back")
                .value_name("FILE")
                .num_args(1..)
                .action(ArgAction::Append)
                .value_parser(value_parser!(FileName))
                .help("Files whose text was in force before and may be put back"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Say what would be published, and publish nothing"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let put_back = args.get_many::<FileName>("put-back").into_iter().flatten();
    let run = draw_incarnation(&SystemClock);
    let options = Options {
        wait: args.get_one::<Duration>("wait").copied().unwrap_or_default(),
        put_back: put_back.cloned().collect(),
        dry_run: args.get_flag("dry-run"),
        ..Options::new(arg::folder_of(args), arg::log_of(args), run)
    };
    publish(&options, terminal).await
}

//! `jacinthbeam publish`: brings the edits of a folder into force.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam::config::FileName;

use super::{EXIT_CODES, Error, arg};
use crate::{
    Terminal,
    publication::{Options, publish},
};

const LONG: &str = "\
Bring the edits of a folder into force.

Reads the folder until two reads agree, compares it with what is in force and with what it was last in sync with, and keeps
all edits as one record, on the condition that no other record came first. The record is accepted as a whole or not at all.

Files that others changed and that are not edited here are left alone. To leave out a file from the folder removes it
from the configuration.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("publish")
        .about("Bring the edits of a folder into force")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::folder())
        .arg(arg::store())
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .value_parser(arg::time)
                .help("Keep trying for this long while the store is away, such as 30s or 5m"),
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
    let options = Options {
        folder: arg::folder_of(args),
        store: arg::store_of(args),
        wait: args.get_one::<Duration>("wait").copied().unwrap_or_default(),
        put_back: put_back.cloned().collect(),
        dry_run: args.get_flag("dry-run"),
    };
    publish(&options, terminal).await
}

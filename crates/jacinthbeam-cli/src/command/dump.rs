//! `jacinthbeam dump`: everything that one host knows.

use clap::{ArgMatches, Command};
use jacinthbeam::host::operators;

use super::{EXIT_CODES, Error, arg};
use crate::Terminal;

/// The command's arguments.
pub fn command() -> Command {
    Command::new("dump")
        .about("Print what hosts know: configuration, backend servers, owners of keys")
        .after_long_help(EXIT_CODES)
        .arg(arg::operators())
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    for addr in arg::operators_of(args) {
        let text = operators::get(addr, "/dump").await;
        let text = text.map_err(|err| Error::Unavailable(format!("{addr} {err}")))?;
        terminal.say(text.trim_end());
    }
    Ok(())
}

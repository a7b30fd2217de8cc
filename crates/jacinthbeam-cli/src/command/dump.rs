//! `jacinthbeam dump`: state of one entry host's process.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::{EXIT_CODES, Error};
use crate::{Terminal, operators};

const LONG: &str = "\
Print the state of an entry host's process as JSON.

Traffic goes on while the dump is made. The names of the fields are stable; docs/OPERATORS.md explains them.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("dump")
        .about("Print the state of an entry host's process as JSON")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("ADDR")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("The host's operators' address, such as 10.1.0.11:8082"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let addr = *args.get_one::<SocketAddr>("address").expect("it is required");
    let text = operators::dump_text(addr).await;
    let text = text.map_err(|err| Error::Unavailable(format!("{addr} {err}")))?;
    terminal.say(text.trim_end());
    Ok(())
}

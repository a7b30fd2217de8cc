//! `jacinthbeam let-through`: serves a request again that is refused since servers ended under it.

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::{crash::Fingerprint, host::operators};

use super::{EXIT_CODES, Error, arg};
use crate::Terminal;

const LONG: &str = "\
Let a request through again that all hosts refuse, since three servers have ended while they ran it: its cause was mended, or it was
another. `jacinthbeam status` names such requests. Each host given here is told, and tells the others. If it ends three more servers
it is refused again.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("let-through")
        .about("Serve a request again that is refused since servers ended under it")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("request")
                .value_name("FINGERPRINT")
                .required(true)
                .value_parser(value_parser!(Fingerprint))
                .help("Fingerprint of the request, as `status` tells it"),
        )
        .arg(arg::operators())
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let request = *args.get_one::<Fingerprint>("request").expect("it is required");
    for addr in arg::operators_of(args) {
        let told = operators::let_through(addr, request).await;
        let told = told.map_err(|err| Error::Unavailable(format!("{addr} {err}")))?;
        terminal.say(format_args!("{addr}: {}", told.trim_end()));
    }
    Ok(())
}

//! `jacinthbeam evacuate`: keeps requests away from a failure domain, or takes it back.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam::types::prelude::FailureDomain;

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, records::Records};

const LONG: &str = "\
Keep requests away from the backend servers of a failure domain. Keys move to servers of the others; what these have no room for is
refused. It stands until the domain is taken back with --back, whatever restarts meanwhile. `jacinthbeam status` names the domains that a
host knows to be evacuated.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("evacuate")
        .about("Keep requests away from a failure domain, or take it back")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("domain")
                .value_name("DOMAIN")
                .required(true)
                .value_parser(value_parser!(FailureDomain))
                .help("The failure domain"),
        )
        .arg(arg::store())
        .arg(
            Arg::new("back")
                .long("back")
                .action(ArgAction::SetTrue)
                .help("Take the failure domain back"),
        )
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let domain = args.get_one::<FailureDomain>("domain").expect("it is required");
    let back = args.get_flag("back");
    let kept = Records::open(arg::store_of(args)).put_evacuation(domain, !back).await;
    kept.map_err(|err| Error::Unavailable(format!("{err}; whether it was kept is not known")))?;
    match back {
        true => terminal.say(format_args!("{domain} is taken back")),
        false => terminal.say(format_args!("{domain} is evacuated")),
    }
    Ok(())
}

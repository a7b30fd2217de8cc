//! `jacinthbeam usage`: what each team used.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam::{
    host::process::usage::{Count, Usage},
    types::prelude::*,
};

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, records::Records};

const LONG: &str = "\
Say what each team used: the sum of what every life of a host's process recorded in the store.

ran counts requests that a backend server answered. may-have-run counts those of which nobody knows, in a column of their own.
Requests that surely did not run are not counted. Hosts record every 5 s and when they stop; a lost host loses what it counted
since its last record.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("usage")
        .about("Say what each team used")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::store())
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("TEAM")
                .value_parser(value_parser!(TeamName))
                .help("Only this team"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON"))
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let used = Records::open(arg::store_of(args)).usage().await;
    let mut used = used.map_err(|err| Error::Unavailable(err.to_string()))?;
    if let Some(team) = args.get_one::<TeamName>("team") {
        used.0.retain(|name, _| name == team);
    }
    if args.get_flag("json") {
        let json = serde_json::to_string_pretty(&used);
        terminal.say(json.map_err(|err| Error::Failed(err.to_string()))?);
    } else {
        terminal.say(table(&used));
    }
    Ok(())
}

fn table(used: &Usage) -> String {
    let mut lines =
        vec![format!("{:<20} {:<20} {:>12} {:>14}", "team", "service", "ran", "may-have-run")];
    for (team, services) in &used.0 {
        for (service, Count { ran, may_have_run }) in services {
            let (team, service) = (team.as_str(), service.as_str());
            lines.push(format!("{team:<20} {service:<20} {ran:>12} {may_have_run:>14}"));
        }
    }
    lines.join("\n")
}

//! `jacinthbeam usage`: what each team used.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use jacinthbeam::{
    admission::usage::{self, Fold, Totals},
    platform::log::{Client, read},
    state::USAGE,
    types::prelude::*,
};

use super::{EXIT_CODES, Error, arg};
use crate::{Terminal, control::TIMEOUT};

/// Most bytes of records in one read.
const MAX_READ: u32 = 4 << 20;

const LONG: &str = "\
Say what each team used, folded from the log's usage stream. Each batch of counts is taken once, however often it stands there.

ran counts requests that a backend server ran. may-have-run counts those of which nobody knows, in a column of their own.
Requests that were proven not to have run are not counted. Hosts append their counts every second or so, a lost host loses
those of its last interval.";

/// Totals by team and service.
pub type ByTeam = BTreeMap<TeamName, BTreeMap<ServiceName, Totals>>;

/// What the usage stream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Used {
    /// Totals by team and service.
    pub totals: ByTeam,
    /// Set if counts in records before this one have expired without a snapshot of them.
    pub incomplete_before: Option<Offset>,
}

/// The command's arguments.
pub fn command() -> Command {
    Command::new("usage")
        .about("Say what each team used")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::log().required(true))
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
    let used = fold(arg::log_of(args)).await;
    let used = used.map_err(|err| Error::Unavailable(err.to_string()))?;
    let team = args.get_one::<TeamName>("team");
    let totals: ByTeam =
        used.totals.into_iter().filter(|(name, _)| team.is_none_or(|team| team == name)).collect();
    if args.get_flag("json") {
        let json = serde_json::to_string_pretty(&totals);
        terminal.say(json.map_err(|err| Error::Failed(err.to_string()))?);
    } else {
        terminal.say(table(&totals));
    }
    match used.incomplete_before {
        None => Ok(()),
        Some(first) => Err(Error::Partial(format!(
            "counts before record {first} of the usage stream have expired, only later ones are shown"
        ))),
    }
}

/// Folds the usage stream to its end.
pub async fn fold(log: SocketAddr) -> Result<Used, read::Error> {
    let client = Client::open(log, TIMEOUT);
    let mut first = Offset(0);
    loop {
        match fold_from(&client, first).await {
            // The records may expire while they are read, too.
            Err(read::Error::Expired { earliest, .. }) => first = earliest,
            used => return used,
        }
    }
}

async fn fold_from(client: &Client, first: Offset) -> Result<Used, read::Error> {
    let mut fold = Fold::open(first);
    // Counts what is kept, for the case that nothing tells about the rest.
    let mut kept = Fold::open(Offset(0));
    loop {
        let batch = client.read(USAGE, fold.next(), MAX_READ, Duration::ZERO).await?;
        for record in &batch.records {
            match usage::decode(&record.bytes) {
                Ok(decoded) => {
                    fold.apply(record.offset, &decoded);
                    kept.apply(record.offset, &decoded);
                }
                Err(err) => {
                    log::warn!("usage: record {}: {err}", record.offset);
                    fold.skip(record.offset);
                }
            }
        }
        if fold.next() >= batch.end {
            break;
        }
    }
    let complete = fold.totals().cloned();
    let incomplete_before = complete.is_none().then_some(first);
    let totals = complete.or_else(|| kept.totals().cloned()).unwrap_or_default();
    Ok(Used { totals, incomplete_before })
}

fn table(totals: &ByTeam) -> String {
    let mut lines =
        vec![format!("{:<20} {:<20} {:>12} {:>14}", "team", "service", "ran", "may-have-run")];
    for (team, services) in totals {
        for (service, Totals { ran, may_have_run }) in services {
            let (team, service) = (team.as_str(), service.as_str());
            lines.push(format!("{team:<20} {service:<20} {ran:>12} {may_have_run:>14}"));
        }
    }
    lines.join("\n")
}

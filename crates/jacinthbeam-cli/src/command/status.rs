//! `jacinthbeam status`: what is in force on each host, and which hosts lag.

use std::collections::BTreeMap;

use clap::{ArgMatches, Command};
use jacinthbeam::host::{
    operators,
    process::status::{Crashes, Keys, Owners, Status},
};

use super::{EXIT_CODES, Error, arg};
use crate::Terminal;

const LONG: &str = "\
Say for each host which configuration is in force there, how many backend servers it knows, and who grants and owns the keys of
each service, and which requests are refused or in doubt since servers ended under them. Ends with code 6 if a host gives no answer, is behind the others, or knows keys that nobody owns.";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Say what is in force on each host, and which hosts lag")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::operators())
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let mut found: Vec<Status> = Vec::new();
    let mut short = Vec::new();
    for addr in arg::operators_of(args) {
        match operators::status(addr).await {
            Ok(status) => found.push(status),
            Err(err) => short.push(format!("{addr} {err}")),
        }
    }
    let newest = found.iter().map(|status| status.config).max().flatten();
    for status in &found {
        terminal.say(line(status));
        if status.config < newest {
            short.push(format!("{} has an older configuration", status.host));
        }
        for (name, service) in &status.services {
            let keys = describe(&service.keys);
            terminal.say(format_args!("  {name}: {} servers, {keys}", service.servers));
            let unowned = service.unowned();
            if unowned > 0 {
                short.push(format!("{} knows no owner of {unowned} keys of {name}", status.host));
            }
        }
    }
    for (request, crashes) in crashes(&found) {
        terminal.say(describe_crashes(request, crashes));
    }
    short.iter().for_each(|what| terminal.warn(what));
    match short.is_empty() {
        true => Ok(()),
        false => Err(Error::Partial(format!("{} things are behind or missing", short.len()))),
    }
}

/// Requests under which servers have ended, each as the host tells it that knows most of it.
fn crashes(found: &[Status]) -> BTreeMap<&str, &Crashes> {
    let mut all: BTreeMap<&str, &Crashes> = BTreeMap::new();
    for (request, crashes) in found.iter().flat_map(|status| &status.crashes) {
        let known = all.entry(request).or_insert(crashes);
        if known.servers.len() < crashes.servers.len() {
            *known = crashes;
        }
    }
    all
}

fn describe_crashes(request: &str, crashes: &Crashes) -> String {
    let list = |items: Vec<String>| items.join(" ");
    let what = if crashes.refused { "refused" } else { "in doubt" };
    let servers = list(crashes.servers.iter().map(ToString::to_string).collect());
    let callers = list(crashes.callers.iter().map(ToString::to_string).collect());
    format!(
        "request {request} {what}: {} servers ended under it, the first {} s ago, the last {} s ago ({servers}); from {callers}",
        crashes.servers.len(),
        crashes.first_ms_ago / 1000,
        crashes.last_ms_ago / 1000,
    )
}

fn line(status: &Status) -> String {
    let config = match status.config {
        Some(version) => format!("version {version}"),
        None => "no configuration".into(),
    };
    let stopping = if status.stopping { ", stopping" } else { "" };
    let evacuated: Vec<&str> = status.evacuated.iter().map(|domain| domain.as_str()).collect();
    let evacuated = match evacuated.is_empty() {
        true => String::new(),
        false => format!(", evacuated: {}", evacuated.join(" ")),
    };
    format!(
        "{} in {}: {config}, {} hosts known{evacuated}{stopping}",
        status.host, status.domain, status.hosts
    )
}

fn describe(keys: &Keys) -> String {
    match keys {
        Keys::Shared => "any server takes any request".into(),
        Keys::Unknown => "owners of keys not read yet".into(),
        Keys::Owned(owners) => describe_owners(owners),
    }
}

fn describe_owners(owners: &Owners) -> String {
    let leader = owners.leader.as_ref().map_or("nobody".to_owned(), ToString::to_string);
    format!(
        "keys in {} ranges, map {}.{}, granted by {leader}",
        owners.ranges, owners.epoch, owners.version
    )
}

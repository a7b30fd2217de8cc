//! `jacinthbeam explain`: who owns a key, who attends the owner, and how that came about.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::{
    config::Division,
    state::{Change, State},
    types::prelude::*,
};

use super::{EXIT_CODES, Error, arg};
use crate::{
    Terminal,
    control::{Reader, Seen},
    operators,
};

const LONG: &str = "\
Say who owns a key, since which epoch, and which records of the log led there, each with its author's reason.

With --operators, the hosts asked also say which of them attends the owner and how long its lease runs. An owner is attended by
a host of its own cell, so ask the hosts of that cell.";

/// What to explain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The platform's log.
    pub log: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The key as a caller means it, that is after percent decoding.
    pub key: Option<String>,
    /// Operators' addresses of hosts that may attend the owner.
    pub operators: Vec<SocketAddr>,
}

/// The command's arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Say who owns a key, who attends the owner, and how that came about")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::log().required(true))
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("SERVICE")
                .required(true)
                .value_parser(value_parser!(ServiceName))
                .help("The service"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("The key as text, without percent encoding; none for an undivided service"),
        )
        .arg(arg::operators())
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let options = Options {
        log: arg::log_of(args),
        service: args.get_one::<ServiceName>("service").expect("it is required").clone(),
        key: args.get_one::<String>("key").cloned(),
        operators: arg::operators_of(args),
    };
    explain(&options, terminal).await
}

/// Folds the log, asks the hosts and prints what they say.
pub async fn explain(options: &Options, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let service = &options.service;
    let mut reader = Reader::open(options.log);
    let mut founded = None;
    let read = reader.to_end(|seen| {
        if let Some(line) = founding(&seen, service) {
            founded = Some(line);
        }
    });
    read.await.map_err(|err| Error::Unavailable(err.to_string()))?;
    let state = reader.state();
    let configured = state.service(service);
    let configured =
        configured.ok_or(Error::Refused(format!("no service {service} is configured")))?;
    let servers = match (configured.division, &options.key) {
        (Division::Undivided, _) => explain_undivided(state, service, terminal),
        (Division::Keyed { .. }, None) => {
            return Err(Error::Refused(format!("service {service} is divided by key: add --key")));
        }
        (Division::Keyed { .. }, Some(key)) => {
            founded.into_iter().for_each(|line| terminal.say(line));
            explain_key(state, service, key, terminal)
        }
    };
    if options.operators.is_empty() {
        return Ok(());
    }
    explain_leases(&options.operators, &servers, terminal).await
}

/// The line about the record that divided the service, if `seen` is that one.
fn founding(seen: &Seen, service: &ServiceName) -> Option<String> {
    let is_founding =
        |change: &&Change| matches!(change, Change::Founded { service: of, .. } if of == service);
    let change = seen.outcome.as_ref()?.changes().iter().find(is_founding)?;
    let envelope = seen.envelope.as_ref()?;
    Some(format!("record {} by {}: {change} ({})", seen.offset, envelope.id, envelope.why))
}

fn explain_undivided(
    state: &State,
    service: &ServiceName,
    terminal: &mut Terminal<'_>,
) -> Vec<ServerId> {
    let servers: Vec<_> = state.servers_of(service).map(|(id, _)| id.clone()).collect();
    terminal.say(format_args!(
        "service {service} is undivided: any of its {} backend servers may take a request",
        servers.len()
    ));
    servers
}

fn explain_key(
    state: &State,
    service: &ServiceName,
    key: &str,
    terminal: &mut Terminal<'_>,
) -> Vec<ServerId> {
    let hash = KeyHash::of(key.as_bytes());
    let Some(division) = state.services.get(service) else {
        terminal.say(format_args!(
            "service {service} has no slots yet: an entry host founds it once its backend servers answer"
        ));
        return Vec::new();
    };
    let slot = division.slot_of(hash);
    let own = if division.split().contains_key(&hash) { ", the key's own" } else { "" };
    terminal.say(format_args!("key {key:?} has hash {hash} and lies in slot {slot}{own}"));
    terminal.say(state.explain(service, slot));
    let owner = division.owner(slot);
    if let Some(owner) = &owner
        && let Some(server) = state.servers.get(&owner.server)
    {
        terminal.say(format_args!(
            "{} lies in cell {}, incarnation {}, epoch {}, owns {} slots",
            owner.server,
            server.cell,
            server.incarnation,
            server.epoch,
            server.slots().len()
        ));
    }
    owner.into_iter().map(|owner| owner.server).collect()
}

async fn explain_leases(
    hosts: &[SocketAddr],
    servers: &[ServerId],
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let mut problems = Vec::new();
    let mut attended = Vec::new();
    for addr in hosts {
        let dump = match operators::dump(*addr).await {
            Ok(dump) => dump,
            Err(err) => {
                problems.push(format!("{addr} {err}"));
                continue;
            }
        };
        let leases = dump.leases().filter(|(server, _)| servers.contains(server));
        for (server, lease) in leases {
            attended.push(server.clone());
            let token = lease.token.map_or("none".into(), |token| token.to_string());
            terminal.say(format_args!(
                "{server} is attended by {} under token {token}, lease runs {} ms more, {} running, {} waiting",
                dump.host.host,
                lease.permit_left_ms.unwrap_or(0),
                lease.in_use,
                lease.waiting
            ));
        }
    }
    let unattended = servers.iter().filter(|server| !attended.contains(server));
    problems.extend(unattended.map(|server| format!("none of the hosts asked attends {server}")));
    if problems.is_empty() { Ok(()) } else { Err(Error::Partial(problems.join("; "))) }
}

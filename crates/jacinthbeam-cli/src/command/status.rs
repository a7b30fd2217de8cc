//! `jacinthbeam status`: which configuration is in force on each host, and which hosts lag.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use clap::{Arg, ArgMatches, Command, value_parser};
use jacinthbeam::{
    platform::{format::hosts::HostList, hosts},
    types::prelude::*,
};

use super::{EXIT_CODES, Error, arg};
use crate::{
    Terminal,
    control::{Reader, TIMEOUT},
    operators::{self, Dump, Member},
};

/// A host whose last read of the whole log is older than this is said to be cut off from it.
const OLD_READ_MS: u64 = 2_000;

const LONG: &str = "\
Say for each entry host which configuration is in force there, how far it has read the log, and what it attends.

Hosts that are asked tell about the others of their cell as well, so one address for each failure domain is enough; ask a host
itself to see its leases. With --hosts, hosts of the platform's list that nobody knows are named, and with --operators-port all
listed hosts are asked at that port. With --log the newest accepted version is read from the log itself.

A host lags if its version is older than the newest that any host, or the log, knows. Exit code 6 if one lags or is missing.";

/// Whom to ask.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Options {
    /// Operators' addresses of hosts to ask.
    pub operators: Vec<SocketAddr>,
    /// The platform's list of hosts.
    pub hosts: Option<SocketAddr>,
    /// Port at which listed hosts are asked, at the IP number of their peers' address.
    pub operators_port: Option<u16>,
    /// The platform's log.
    pub log: Option<SocketAddr>,
}

/// The command's arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Say which configuration is in force on each host, and which hosts lag")
        .long_about(LONG)
        .after_long_help(EXIT_CODES)
        .arg(arg::operators().required_unless_present("operators-port"))
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .help("Address of the platform's list of hosts"),
        )
        .arg(
            Arg::new("operators-port")
                .long("operators-port")
                .value_name("PORT")
                .requires("hosts")
                .value_parser(value_parser!(u16))
                .help("Ask every listed host at this port"),
        )
        .arg(arg::log())
}

/// Runs the command.
pub async fn run(args: &ArgMatches, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let options = Options {
        operators: arg::operators_of(args),
        hosts: args.get_one("hosts").copied(),
        operators_port: args.get_one("operators-port").copied(),
        log: args.get_one("log").copied(),
    };
    status(&options, terminal).await
}

/// Asks the hosts and prints a line for each.
pub async fn status(options: &Options, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let list = match options.hosts {
        Some(addr) => Some(listed(addr).await?),
        None => None,
    };
    let mut problems = Vec::new();
    let mut view = View::default();
    for (addr, asked) in ask(addresses(options, list.as_ref())).await {
        match asked {
            Ok(dump) => view.add(dump),
            Err(err) => problems.push(format!("{addr} {err}")),
        }
    }
    if let Some(log) = options.log {
        view.newest = newest_in_log(log, &mut problems).await.max(view.newest);
    }
    if view.asked.is_empty() && view.heard.is_empty() {
        return Err(Error::Unavailable(problems.join("; ")));
    }
    terminal.say(view.table());
    let unknown = list.iter().flat_map(|list| &list.entry_hosts);
    let unknown = unknown.filter(|host| !view.knows(&host.id));
    problems.extend(unknown.map(|host| format!("{} is listed, but no host knows it", host.id)));
    problems.extend(view.lagging().map(|host| format!("{host} lags")));
    if problems.is_empty() { Ok(()) } else { Err(Error::Partial(problems.join("; "))) }
}

async fn listed(addr: SocketAddr) -> Result<HostList, Error> {
    let list = hosts::Client::open(addr, TIMEOUT).list().await;
    list.map_err(|err| Error::Unavailable(err.to_string()))
}

fn addresses(options: &Options, list: Option<&HostList>) -> BTreeSet<SocketAddr> {
    let hosts = list.into_iter().flat_map(|list| &list.entry_hosts);
    let of_list = options.operators_port.into_iter().flat_map(|port| {
        hosts.clone().map(move |host| SocketAddr::new(host.peer_address.ip(), port))
    });
    options.operators.iter().copied().chain(of_list).collect()
}

/// Asks all hosts at once.
async fn ask(
    addresses: BTreeSet<SocketAddr>,
) -> BTreeMap<SocketAddr, Result<Dump, operators::Error>> {
    let asked = addresses.into_iter().map(|addr| (addr, tokio::spawn(operators::dump(addr))));
    let asked: Vec<_> = asked.collect();
    let mut answers = BTreeMap::new();
    for (addr, answer) in asked {
        let answer = answer.await;
        let answer =
            answer.unwrap_or_else(|err| Err(operators::Error::Unreachable(err.to_string())));
        answers.insert(addr, answer);
    }
    answers
}

async fn newest_in_log(log: SocketAddr, problems: &mut Vec<String>) -> Option<ConfigVersion> {
    let mut reader = Reader::open(log);
    match reader.to_end(|_| ()).await {
        Ok(()) => reader.state().config.version(),
        Err(err) => {
            problems.push(err.to_string());
            None
        }
    }
}

/// What all answers together say.
#[derive(Default)]
struct View {
    asked: BTreeMap<HostId, Dump>,
    heard: BTreeMap<HostId, Heard>,
    newest: Option<ConfigVersion>,
}

/// A host that others told about.
struct Heard {
    by: Dump,
    member: Member,
}

impl View {
    fn add(&mut self, dump: Dump) {
        self.newest = self.newest.max(dump.config_version);
        for member in &dump.members {
            self.newest = self.newest.max(member.config_version);
            let newer = |known: &Heard| known.member.age_ms <= member.age_ms;
            if !self.heard.get(&member.host).is_some_and(newer) {
                let heard = Heard { by: dump.clone(), member: member.clone() };
                self.heard.insert(member.host.clone(), heard);
            }
        }
        self.asked.insert(dump.host.host.clone(), dump);
    }

    fn knows(&self, host: &HostId) -> bool {
        self.asked.contains_key(host) || self.heard.contains_key(host)
    }

    /// Hosts that were only heard of.
    fn only_heard(&self) -> impl Iterator<Item = (&HostId, &Heard)> {
        self.heard.iter().filter(|(host, _)| !self.asked.contains_key(*host))
    }

    /// Hosts that are alive and have not the newest version in force.
    fn lagging(&self) -> impl Iterator<Item = &HostId> {
        let asked = self.asked.iter();
        let asked = asked.filter(|(_, dump)| dump.config_version < self.newest);
        let heard = self
            .only_heard()
            .filter(|(_, heard)| heard.member.alive && heard.member.config_version < self.newest);
        asked.map(|(host, _)| host).chain(heard.map(|(host, _)| host))
    }

    fn table(&self) -> String {
        let mut rows = vec![Row::head()];
        rows.extend(self.asked.values().map(|dump| self.asked_row(dump)));
        rows.extend(self.only_heard().map(|(host, heard)| self.heard_row(host, heard)));
        rows.sort_by(|a, b| a.order.cmp(&b.order));
        rows.iter().map(Row::to_line).collect::<Vec<_>>().join("\n")
    }

    fn asked_row(&self, dump: &Dump) -> Row {
        let lease = dump.leases().filter_map(|(_, admission)| admission.permit_left_ms).min();
        let read = dump.log_read_age_ms;
        let state = match dump {
            Dump { stopping: true, .. } => "stopping",
            Dump { config_version: None, .. } => "no configuration",
            _ if dump.config_version < self.newest => "lags",
            _ if read.is_none_or(|age| age > OLD_READ_MS) => "in force, log not read",
            _ => "in force",
        };
        Row {
            order: Some((dump.host.cell.clone(), dump.host.host.clone())),
            cells: [
                dump.host.host.to_string(),
                dump.host.cell.to_string(),
                shown(dump.config_version),
                dump.log_next.to_string(),
                read.map_or("never".into(), |ms| format!("{ms} ms ago")),
                dump.leases().count().to_string(),
                lease.map_or("-".into(), |ms| format!("{ms} ms")),
                state.into(),
            ],
        }
    }

    fn heard_row(&self, host: &HostId, heard: &Heard) -> Row {
        let Heard { by, member } = heard;
        let age = member.age_ms.map_or("never".into(), |ms| format!("{ms} ms ago"));
        let state = match member {
            Member { alive: false, .. } => "silent",
            Member { config_version: None, .. } => "no configuration",
            _ if member.config_version < self.newest => "lags",
            _ => "in force",
        };
        Row {
            order: Some((by.host.cell.clone(), host.clone())),
            cells: [
                host.to_string(),
                by.host.cell.to_string(),
                shown(member.config_version),
                shown(member.log_next),
                "-".into(),
                "-".into(),
                "-".into(),
                format!("{state}, {} heard it {age}", by.host.host),
            ],
        }
    }
}

fn shown(number: Option<impl std::fmt::Display>) -> String {
    number.map_or("none".into(), |number| number.to_string())
}

/// A line of the table.
struct Row {
    order: Option<(CellId, HostId)>,
    cells: [String; 8],
}

impl Row {
    fn head() -> Self {
        let names = [
            "host",
            "cell",
            "version",
            "log next",
            "log read",
            "attends",
            "shortest lease",
            "state",
        ];
        Self { order: None, cells: names.map(str::to_owned) }
    }

    fn to_line(&self) -> String {
        let [host, cell, version, next, read, attends, lease, state] = &self.cells;
        format!(
            "{host:<24} {cell:<18} {version:>8} {next:>9} {read:>12} {attends:>8} {lease:>15}  {state}"
        )
    }
}

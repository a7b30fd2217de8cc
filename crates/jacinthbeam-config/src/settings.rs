//! Settings of the entry daemon: one file of JSON with comments for each entry host.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use jacinthbeam_types::prelude::*;

use crate::{
    document::{self, Fields, Value, read},
    problem::Problem,
};

/// Settings of one entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Cell it belongs to, which names its failure domain.
    pub cell: CellId,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for other entry hosts. They are told this address unless
    /// [`Settings::advertise`] is set, so it must not be `0.0.0.0` or `::` then.
    pub peers: SocketAddr,
    /// Where other entry hosts reach it, if that is not [`Settings::peers`]: behind address
    /// translation, for instance.
    pub advertise: Option<SocketAddr>,
    /// IP number that its connections to others come from; the system picks one unless it is set.
    /// For hosts with several.
    pub source: Option<IpAddr>,
    /// Where it listens for operators: metrics and dumps.
    pub operators: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of hosts.
    pub hosts: SocketAddr,
    /// Times that differ from their defaults.
    pub timing: TimingSettings,
    /// Bounds on what the process takes in.
    pub limits: Limits,
    /// Threads for traffic, next to the one for control state.
    pub traffic_threads: usize,
}

/// Times of the lease protocol; the defaults, and how they must fit each other, belong to the lease crate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimingSettings {
    /// Length of a lease.
    pub lease: Option<Duration>,
    /// Time between two renewals of a lease.
    pub renew_every: Option<Duration>,
    /// Time between two heartbeats to a host.
    pub heartbeat_every: Option<Duration>,
    /// A host counts as alive for this long after a heartbeat.
    pub alive_within: Option<Duration>,
    /// A backend server counts as silent after this long without a reply.
    pub silent_after: Option<Duration>,
    /// Longest wait for the reply to a probe.
    pub probe_timeout: Option<Duration>,
    /// Added to every wait for a lease to end.
    pub margin: Option<Duration>,
}

/// Bounds on what the process takes in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a caller's request.
    pub max_header: Bytes,
    /// Most connections of callers.
    pub max_connections: u32,
    /// Most connections of other entry hosts.
    pub max_peer_connections: u32,
    /// Most requests in progress or waiting in the process.
    pub max_requests: u32,
    /// Largest message of another entry host.
    pub max_message: Bytes,
    /// Memory for idempotency keys and kept answers.
    pub duplicate_memory: Bytes,
    /// A caller's connection without any request is closed after this time.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header: Bytes(32 << 10),
            max_connections: 4096,
            max_peer_connections: 512,
            max_requests: 8192,
            max_message: Bytes(16 << 20),
            duplicate_memory: Bytes(64 << 20),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Threads for traffic, unless set.
pub const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Most threads for traffic.
pub const MAX_TRAFFIC_THREADS: usize = 256;
/// Longest time that can be set for the lease protocol, in milliseconds.
pub const MAX_TIMING_MS: u64 = 60_000;
const MAX_IDLE_MS: u64 = 3_600_000;
const MAX_COUNT: u32 = 1 << 20;
const KIB: u64 = 1 << 10;
const GIB: u64 = 1 << 30;

/// Parses and checks the settings in `text`; `file` names it in problems.
pub fn from_text(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let node = document::parse(Arc::from(file), text)?;
    let mut fields = Fields::of(&node, "");
    let settings = settings(&mut fields);
    let problems = fields.finish();
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

fn settings(fields: &mut Fields<'_>) -> Option<Settings> {
    let host = fields.required("host", "the name of this host", read::text);
    let cell =
        fields.required("cell", "the cell, such as \"kamloops-a\" or \"kamloops-a:2\"", read::text);
    let callers = address(fields, "callers");
    let peers = address(fields, "peers");
    let operators = address(fields, "operators");
    let advertise = fields.optional("advertise", read_address);
    let source = fields.optional("source", read_ip);
    let log = address(fields, "log");
    let hosts = address(fields, "hosts");
    let timing = fields.object("timing", TimingSettings::default(), timing);
    let limits = fields.object("limits", Limits::default(), limits);
    let threads = read::whole(1..=MAX_TRAFFIC_THREADS);
    let traffic_threads = fields.or("traffic_threads", DEFAULT_TRAFFIC_THREADS, threads);
    let told = if advertise.is_some() { ("advertise", advertise) } else { ("peers", peers) };
    for (name, address) in [told, ("log", log), ("hosts", hosts)] {
        if address.is_some_and(|address| is_any(address.ip())) {
            fields.unfit(
                name,
                "others can't connect to this address",
                "give the IP number of one host",
            );
        }
    }
    let listen = [("callers", callers), ("peers", peers), ("operators", operators)];
    for (at, (name, address)) in listen.iter().enumerate() {
        let taken = listen[..at].iter().find(|(_, other)| other.is_some() && other == address);
        if let Some((other, _)) =
            taken.filter(|_| address.is_some_and(|address| address.port() != 0))
        {
            let what = format!("the address is used for `{other}` too");
            fields.unfit(name, what, "give each its own port");
        }
    }
    Some(Settings {
        host: host?,
        cell: cell?,
        callers: callers?,
        peers: peers?,
        advertise,
        source,
        operators: operators?,
        log: log?,
        hosts: hosts?,
        timing,
        limits,
        traffic_threads,
    })
}

fn address(fields: &mut Fields<'_>, name: &'static str) -> Option<SocketAddr> {
    fields.required(name, "an address such as \"10.0.0.7:8080\"", read_address)
}

fn read_address(value: &Value) -> Result<SocketAddr, String> {
    read::text(value).map_err(|_| "an IP number and a port, such as \"10.0.0.7:8080\"".into())
}

fn read_ip(value: &Value) -> Result<IpAddr, String> {
    read::text(value).map_err(|_| "an IP number, such as \"10.0.0.7\"".into())
}

fn is_any(ip: IpAddr) -> bool {
    ip.is_unspecified() || ip.is_multicast()
}

fn timing(fields: &mut Fields<'_>) -> TimingSettings {
    let time = read::millis(1..=MAX_TIMING_MS);
    TimingSettings {
        lease: fields.optional("lease_ms", &time),
        renew_every: fields.optional("renew_every_ms", &time),
        heartbeat_every: fields.optional("heartbeat_every_ms", &time),
        alive_within: fields.optional("alive_within_ms", &time),
        silent_after: fields.optional("silent_after_ms", &time),
        probe_timeout: fields.optional("probe_timeout_ms", &time),
        margin: fields.optional("margin_ms", &time),
    }
}

fn limits(fields: &mut Fields<'_>) -> Limits {
    let default = Limits::default();
    let count = read::whole(1..=MAX_COUNT);
    let size = |first, last| read::bytes(Bytes(first)..=Bytes(last));
    Limits {
        max_header: fields.or("max_header", default.max_header, size(KIB, KIB << 10)),
        max_connections: fields.or("max_connections", default.max_connections, &count),
        max_peer_connections: fields.or(
            "max_peer_connections",
            default.max_peer_connections,
            &count,
        ),
        max_requests: fields.or("max_requests", default.max_requests, &count),
        max_message: fields.or("max_message", default.max_message, size(64 * KIB, GIB)),
        duplicate_memory: fields.or(
            "duplicate_memory",
            default.duplicate_memory,
            size(0, 64 * GIB),
        ),
        idle_timeout: fields.or(
            "idle_timeout_ms",
            default.idle_timeout,
            read::millis(1..=MAX_IDLE_MS),
        ),
    }
}

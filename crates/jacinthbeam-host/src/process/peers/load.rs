//! Datagrams between hosts: load reports, gates, admission plans, notices that a grantor has stopped, permits to send to rate-limited
//! servers, and parts of the retry budget.
//!
//! Load reports are sent four times a second and matter for some seconds, so losing one is harmless. Streams would need a connection from
//! every host to every granting host.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::{
    HostReport, Plan,
    plan::{DomainLoad, ServerLoad},
};
use jacinthbeam_dispatch::rate_limit::Statement;
use jacinthbeam_range::{Leader, admission::Gate, demand::LoadReport};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Largest datagram in bytes; it fits an Ethernet frame without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Largest number of bytes by which the number of servers and the sequence of a message are longer than those of the first one.
const COUNT_BYTES: usize = 8;

/// Largest encoded size of the counts of a server beside its name: the length of the name, four numbers, and what it states.
const SERVER_COUNTS_BYTES: usize = 3 + 3 * 5 + 4 + 1 + 3 * 5 + 1 + 5;

/// Largest encoded size of the load of a server beside its name: the length of the name, and two numbers.
const SERVER_LOAD_BYTES: usize = 3 + 3 + 3;

/// A datagram from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Counts of requests to a keyed service since the last report.
    Load {
        /// The host that counted.
        from: HostId,
        /// The service.
        service: ServiceName,
        /// The counts.
        report: LoadReport,
    },
    /// A host has stopped granting the keys of a service, and sends no more grants of this epoch.
    Stopped {
        /// The service.
        service: ServiceName,
        /// The incarnation of the host's process.
        leader: Leader,
        /// The epoch in which it granted.
        epoch: Epoch,
        /// For how long hosts that granted before it may still renew.
        others_left: Duration,
    },
    /// Admission limits for overloaded owners, valid for about a second; without any, a heartbeat of the granting host.
    Gates {
        /// The service.
        service: ServiceName,
        /// The gates. Owners that are not listed have no limit.
        gates: BTreeMap<ServerId, Gate>,
    },
    /// A host requests a permit to send one request to a server that states a rate limit.
    PermitRequest {
        /// Identifies the request at the requesting host.
        id: u64,
        /// The server.
        server: ServerId,
        /// What the requesting host knows of the limit.
        limit: LimitStatement,
    },
    /// The answer to a request for a permit.
    PermitDecision {
        /// Identifies the request at the requesting host.
        id: u64,
        /// Whether one request may be sent.
        granted: bool,
        /// Time until the next permit can be issued.
        wait: Duration,
        /// What the issuing host knows of the limit.
        limit: LimitStatement,
    },
    /// A server has withdrawn its rate limit.
    LimitWithdrawn {
        /// The server.
        server: ServerId,
        /// The statement that withdraws it.
        limit: LimitStatement,
    },
    /// The load of one host on a service, for the collectors of its failure domain.
    HostReport {
        /// The host.
        from: HostId,
        /// The service.
        service: ServiceName,
        /// The load.
        report: HostReport,
    },
    /// The load of a failure domain on a service, for the collectors of the other domains.
    DomainLoad {
        /// The collector.
        from: HostId,
        /// Its failure domain.
        domain: FailureDomain,
        /// The service.
        service: ServiceName,
        /// Increases with each message of a process.
        sequence: u32,
        /// The load.
        load: DomainLoad,
    },
    /// What the hosts of a failure domain may start for a service.
    Plan {
        /// The collector.
        from: HostId,
        /// The service.
        service: ServiceName,
        /// Increases with each message of a process.
        sequence: u32,
        /// The plan.
        plan: Plan,
    },
    /// The load of servers of a service in a failure domain, for the hosts of that domain. Servers that are not listed keep what was known.
    ServerLoads {
        /// The collector.
        from: HostId,
        /// The service.
        service: ServiceName,
        /// Increases with each message of a process.
        sequence: u32,
        /// The servers.
        servers: BTreeMap<ServerId, ServerLoad>,
        /// Fleet-wide mean time from the send to the answer, by rank.
        service_times: BTreeMap<u32, Duration>,
    },
    /// A host whose share of a service's retry budget is used up requests a part of another host's.
    CreditRequest {
        /// Identifies the request at the requesting host.
        id: u64,
        /// The service.
        service: ServiceName,
        /// Retries that the host could use.
        wanted: u32,
    },
    /// Retries that a host has given up in favor of the requesting host.
    CreditGrant {
        /// Identifies the request at the requesting host.
        id: u64,
        /// The service.
        service: ServiceName,
        /// Number of retries; 0 if the host needs its share itself.
        granted: u32,
    },
}

/// A server's statement about its rate limit, as sent between hosts, whose clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The limit; `None` if the server states none.
    rate: Option<Rate>,
    /// Age of the statement when the datagram was sent.
    age: Duration,
}

impl LimitStatement {
    /// The statement as of `now`, to be sent immediately.
    pub fn new(statement: Statement, now: Instant) -> Self {
        Self { rate: statement.rate, age: statement.age(now) }
    }

    /// The statement as of `sent`, the time that is known for the moment when it was sent. See [`Statement::relayed`].
    pub fn sent_at(self, sent: Instant) -> Statement {
        Statement::relayed(self.rate, self.age, sent)
    }
}

/// Why a datagram can't be decoded.
pub type Error = bincode::error::DecodeError;

impl Message {
    /// Encodes the datagram.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg)
            .expect("a message has no type that can't be encoded")
    }

    /// Decodes a datagram.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let cfg = bincode::config::standard().with_limit::<{ MAX_DATAGRAM_BYTES * 16 }>();
        Ok(bincode::serde::decode_from_slice(bytes, cfg)?.0)
    }

    /// Splits the gates of one service into datagrams.
    pub fn gates(service: &ServiceName, gates: &BTreeMap<ServerId, Gate>) -> Vec<Self> {
        // A gate takes up to 60 bytes with its server's name.
        let gates: Vec<_> = gates.iter().map(|(id, gate)| (id.clone(), *gate)).collect();
        let message = |part: &[(ServerId, Gate)]| Self::Gates {
            service: service.clone(),
            gates: part.iter().cloned().collect(),
        };
        gates.chunks(20).map(message).collect()
    }

    /// Splits the report of a host into datagrams.
    pub fn host_reports(from: &HostId, service: &ServiceName, report: HostReport) -> Vec<Self> {
        let HostReport { sequence, ranks, servers, .. } = report;
        let message =
            |report| Self::HostReport { from: from.clone(), service: service.clone(), report };
        let mut part = HostReport { sequence, part: 0, ranks, servers: BTreeMap::new() };
        let empty = |part: &HostReport| message(part.clone()).to_bytes().len() + COUNT_BYTES;
        let mut bytes = empty(&part);
        let mut messages = Vec::new();
        for (id, counts) in servers {
            let entry = id.to_string().len() + SERVER_COUNTS_BYTES;
            if bytes + entry > MAX_DATAGRAM_BYTES {
                let next = HostReport { sequence, part: part.part + 1, ..HostReport::default() };
                messages.push(message(std::mem::replace(&mut part, next)));
                bytes = empty(&part);
            }
            part.servers.insert(id, counts);
            bytes += entry;
        }
        messages.push(message(part));
        messages
    }

    /// A plan for the hosts of the failure domain `near`. If there are too many domains with long names for a datagram, those with the smallest
    /// free share are left out: no request is sent there for the sake of capacity.
    pub fn plan(
        from: &HostId,
        service: &ServiceName,
        sequence: u32,
        plan: Plan,
        near: &FailureDomain,
    ) -> Self {
        let (from, service) = (from.clone(), service.clone());
        let mut message = Self::Plan { from, service, sequence, plan };
        let mut excess = message.to_bytes().len().saturating_sub(MAX_DATAGRAM_BYTES);
        if excess > 0
            && let Self::Plan { plan, .. } = &mut message
        {
            let mut others: Vec<_> = plan.free.iter().filter(|(id, _)| *id != near).collect();
            others.sort_by(|(_, a), (_, b)| a.total_cmp(b));
            let mut left_out = Vec::new();
            for (domain, _) in others {
                if excess == 0 {
                    break;
                }
                excess = excess.saturating_sub(domain.to_string().len());
                left_out.push(domain.clone());
            }
            plan.free.retain(|domain, _| !left_out.contains(domain));
        }
        message
    }

    /// Splits the loads of servers into datagrams, with the sequences after `sequence`.
    pub fn server_loads(
        from: &HostId,
        service: &ServiceName,
        sequence: &mut u32,
        servers: &BTreeMap<ServerId, ServerLoad>,
        service_times: &BTreeMap<u32, Duration>,
    ) -> Vec<Self> {
        let mut message = |servers: BTreeMap<ServerId, ServerLoad>| {
            *sequence = sequence.wrapping_add(1);
            Self::ServerLoads {
                from: from.clone(),
                service: service.clone(),
                sequence: *sequence,
                servers,
                service_times: service_times.clone(),
            }
        };
        let empty = message(BTreeMap::new()).to_bytes().len() + COUNT_BYTES;
        let mut messages = Vec::new();
        let (mut part, mut bytes) = (BTreeMap::new(), empty);
        for (id, load) in servers {
            let entry = id.to_string().len() + SERVER_LOAD_BYTES;
            if bytes + entry > MAX_DATAGRAM_BYTES && !part.is_empty() {
                messages.push(message(std::mem::take(&mut part)));
                bytes = empty;
            }
            part.insert(id.clone(), *load);
            bytes += entry;
        }
        if !part.is_empty() {
            messages.push(message(part));
        }
        messages
    }

    /// Splits the report for one service into datagrams.
    pub fn loads(from: &HostId, service: &ServiceName, report: LoadReport) -> Vec<Self> {
        let mut messages = Vec::new();
        let mut part = LoadReport::default();
        let load = |report| Self::Load { from: from.clone(), service: service.clone(), report };
        // A key with its count takes up to 6 bytes, a server with its work up to 40.
        for (key, count) in report.keys {
            if part.keys.len() >= 200 {
                messages.push(load(std::mem::take(&mut part)));
            }
            part.keys.insert(key, count);
        }
        for (key, count) in report.earlier {
            if part.keys.len() + part.earlier.len() >= 200 {
                messages.push(load(std::mem::take(&mut part)));
            }
            part.earlier.insert(key, count);
        }
        for (server, work) in report.servers {
            if part.servers.len() >= 10 || part.keys.len() + part.earlier.len() >= 150 {
                messages.push(load(std::mem::take(&mut part)));
            }
            part.servers.insert(server, work);
        }
        for (server, by_rank) in report.arrivals {
            if part.servers.len() + part.arrivals.len() >= 30
                || part.keys.len() + part.earlier.len() >= 100
            {
                messages.push(load(std::mem::take(&mut part)));
            }
            part.arrivals.insert(server, by_rank);
        }
        if part != LoadReport::default() {
            messages.push(load(part));
        }
        messages
    }
}

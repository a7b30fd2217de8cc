//! Datagrams with counts of load.
//!
//! Counts of load are sent four times a second and matter for some seconds, so a lost one costs nothing. A stream would cost a
//! connection from every host to every granting host.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_range::{Leader, admission::Gate, demand::LoadReport};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Longest datagram: fits a link's frames without being cut.
pub const LONGEST: usize = 1400;

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Counts of a keyed service since the last message.
    Load {
        /// The host that counted.
        from: HostId,
        /// The service.
        service: ServiceName,
        /// The counts.
        report: LoadReport,
    },
    /// A host that granted the keys of a service sends no grant of that epoch any more.
    Stopped {
        /// The service.
        service: ServiceName,
        /// The life of the host's process.
        leader: Leader,
        /// The epoch in which it granted.
        epoch: Epoch,
        /// For how long hosts that granted before it may still renew.
        others_left: Duration,
    },
    /// What may be sent to owners that are asked for more than they can do. It stands for a second.
    Gates {
        /// The service.
        service: ServiceName,
        /// The gates. Owners that are not named may be sent everything.
        gates: BTreeMap<ServerId, Gate>,
    },
}

/// Why a datagram can't be read.
pub type Error = bincode::error::DecodeError;

impl Message {
    /// The datagram.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg)
            .expect("a message has no type that can't be encoded")
    }

    /// Reads a datagram.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let cfg = bincode::config::standard().with_limit::<{ LONGEST * 16 }>();
        Ok(bincode::serde::decode_from_slice(bytes, cfg)?.0)
    }

    /// Gates of one service, few enough for a datagram each.
    pub fn gates(service: &ServiceName, gates: &BTreeMap<ServerId, Gate>) -> Vec<Self> {
        // A gate takes up to 60 bytes with its server's name.
        let gates: Vec<_> = gates.iter().map(|(id, gate)| (id.clone(), *gate)).collect();
        let message = |part: &[(ServerId, Gate)]| Self::Gates {
            service: service.clone(),
            gates: part.iter().cloned().collect(),
        };
        gates.chunks(20).map(message).collect()
    }

    /// Reports of one service, each short enough for a datagram.
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

//! Datagrams with counts of load.
//!
//! Counts of load are sent twice a second and matter for some seconds, so a lost one costs nothing. A stream would cost a
//! connection from every host to every granting host.

use jacinthbeam_range::demand::Report;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Longest datagram: fits a link's frames without being cut.
pub const LONGEST: usize = 1400;

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Counts of a keyed service since the last message.
    Load {
        /// The service.
        service: ServiceName,
        /// The counts.
        report: Report,
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

    /// Reports of one service, each short enough for a datagram.
    pub fn loads(service: &ServiceName, report: Report) -> Vec<Self> {
        let mut messages = Vec::new();
        let mut part = Report::default();
        let load = |report| Self::Load { service: service.clone(), report };
        // A key with its count takes up to 6 bytes, a server with its work up to 40.
        for (key, count) in report.keys {
            if part.keys.len() >= 200 {
                messages.push(load(std::mem::take(&mut part)));
            }
            part.keys.insert(key, count);
        }
        for (server, work) in report.servers {
            if part.servers.len() >= 10 || part.keys.len() >= 150 {
                messages.push(load(std::mem::take(&mut part)));
            }
            part.servers.insert(server, work);
        }
        if part != Report::default() {
            messages.push(load(part));
        }
        messages
    }
}

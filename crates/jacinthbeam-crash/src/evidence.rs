//! The evidence against a request in a form that outlasts the loss of every host's memory.

use std::{
    net::IpAddr,
    time::{Duration, Instant, SystemTime},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    cases::{Fact, What},
    fingerprint::Fingerprint,
};

/// A server that crashed under a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The life of the server.
    pub server: ServerId,
    /// Whose attempt it was.
    pub caller: IpAddr,
    /// How long before the record was written.
    pub age: Duration,
}

/// The servers that crashed under one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// When it was written, by the time of day.
    pub written: SystemTime,
    /// The servers.
    pub crashes: Vec<Crash>,
}

/// A record that the store should hold of a request: its evidence, or none any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub request: Fingerprint,
    /// `None` removes the record.
    pub crashes: Option<Vec<Crash>>,
}

/// Why bytes are no evidence.
#[derive(Debug)]
pub struct ReadError(bincode::error::DecodeError);

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the record is no evidence of crashes: {}", self.0)
    }
}

impl std::error::Error for ReadError {}

impl Evidence {
    /// The record as the store holds it.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg).expect("names and times can always be written")
    }

    /// Reads back what [`Evidence::to_bytes`] gave.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ReadError> {
        let cfg = bincode::config::standard();
        let (evidence, _) = bincode::serde::decode_from_slice(bytes, cfg).map_err(ReadError)?;
        Ok(evidence)
    }

    /// The facts of the record, by the clocks of the host that reads it at `now`.
    pub fn facts(self, request: Fingerprint, now: Instant, time_of_day: SystemTime) -> Vec<Fact> {
        // A time of day that was set back makes the record look new, and it is kept longer.
        let since = time_of_day.duration_since(self.written).unwrap_or_default();
        let fact = |Crash { server, caller, age }| {
            let what = What::Ended { server, caller };
            // A host that started after the crash has no earlier moment to name.
            let at = now.checked_sub(age.saturating_add(since))?;
            Some(Fact { request, what, at })
        };
        self.crashes.into_iter().filter_map(fact).collect()
    }
}

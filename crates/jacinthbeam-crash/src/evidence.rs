//! What a host knows of crashes, in a form that outlasts the memory of all hosts.

use std::time::{Instant, SystemTime};

use serde::{Deserialize, Serialize};

use crate::cases::{AgedFact, Fact};

/// Facts of one record, of up to some 70 bytes each.
pub const MAX_FACTS_PER_RECORD: usize = 128;

/// The record of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// When it was written, by the time of day.
    pub written: SystemTime,
    /// The facts, with their age at that time.
    pub facts: Vec<AgedFact>,
}

/// Why bytes are no evidence.
#[derive(Debug)]
pub struct ReadError(bincode::error::DecodeError);

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid crash evidence record: {}", self.0)
    }
}

impl std::error::Error for ReadError {}

impl Evidence {
    /// The record as the store holds it.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg).expect("names and times can always be encoded")
    }

    /// Reads back what [`Evidence::to_bytes`] gave.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ReadError> {
        let cfg = bincode::config::standard();
        let (evidence, _) = bincode::serde::decode_from_slice(bytes, cfg).map_err(ReadError)?;
        Ok(evidence)
    }

    /// The facts of the record, by the clocks of the host that reads it at `now`.
    pub fn facts(self, now: Instant, time_of_day: SystemTime) -> Vec<Fact> {
        // A time of day that was set back makes the record look new, and it is kept longer.
        let since = time_of_day.duration_since(self.written).unwrap_or_default();
        let facts = self.facts.into_iter().filter_map(|fact| {
            let age = fact.age.saturating_add(since);
            AgedFact { age, ..fact }.at(now)
        });
        facts.collect()
    }
}

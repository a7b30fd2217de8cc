//! Durable form of a host's evidence, for the case that all hosts restart.

use std::time::{Instant, SystemTime};

use serde::{Deserialize, Serialize};

use crate::cases::{AgedFact, Fact};

/// Maximum number of facts in one record. Each takes up to about 70 bytes.
pub const MAX_FACTS_PER_RECORD: usize = 128;

/// The record of one host in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// When it was written, by the host's wall clock.
    pub written: SystemTime,
    /// The facts, with their ages at that time.
    pub facts: Vec<AgedFact>,
}

/// Error of [`Evidence::from_bytes`].
#[derive(Debug)]
pub struct ReadError(bincode::error::DecodeError);

impl std::fmt::Display for ReadError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid crash evidence record: {}", self.0)
    }
}

impl std::error::Error for ReadError {}

impl Evidence {
    /// Encodes the record for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg).expect("names and times can always be encoded")
    }

    /// Decodes a record that [`Evidence::to_bytes`] encoded.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ReadError> {
        let cfg = bincode::config::standard();
        let (evidence, _) = bincode::serde::decode_from_slice(bytes, cfg).map_err(ReadError)?;
        Ok(evidence)
    }

    /// The facts of the record, with times of the reading host's clock, which reads `now`.
    ///
    /// `time_of_day` is the wall clock of the reading host, to compare with `written`.
    pub fn facts(self, now: Instant, time_of_day: SystemTime) -> Vec<Fact> {
        // If the wall clock was set back, the record looks newer than it is and is kept longer.
        let since = time_of_day.duration_since(self.written).unwrap_or_default();
        let facts = self.facts.into_iter().filter_map(|fact| {
            let age = fact.age.saturating_add(since);
            AgedFact { age, ..fact }.at(now)
        });
        facts.collect()
    }
}

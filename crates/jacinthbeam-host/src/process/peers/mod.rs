//! What hosts say to each other: reports of load as datagrams, news of the store as h2 streams.

pub(super) mod link;
pub mod load;
pub mod long_poll;
pub mod order;
pub(super) mod serve;
pub mod source;
pub mod update;

use std::net::SocketAddr;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Where a host is, as it says in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Takes datagrams and streams of other hosts.
    pub addr: SocketAddr,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Its share of a processor.
    pub processor: Millicores,
}

impl HostEntry {
    /// The entry as kept in the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg)
            .expect("an entry has no type that can't be encoded")
    }

    /// Reads back what [`HostEntry::to_bytes`] gave, or a version before it that didn't tell the processor.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        let cfg = bincode::config::standard();
        let ((addr, domain), len) = bincode::serde::decode_from_slice(bytes, cfg)?;
        let processor = match &bytes[len..] {
            [] => Millicores::default(),
            rest => bincode::serde::decode_from_slice(rest, cfg)?.0,
        };
        Ok(Self { addr, domain, processor })
    }
}

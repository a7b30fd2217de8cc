//! Communication between hosts: load reports and gates as datagrams, updates of the store's data over HTTP/2.

pub mod enrolment;
pub(crate) mod forward;
pub(super) mod link;
pub mod load;
pub mod long_poll;
pub mod order;
pub mod relay;
pub(super) mod serve;
pub mod source;
pub mod update;

use std::net::SocketAddr;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The entry of a host in the store's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Address for datagrams and connections from other hosts.
    pub addr: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// Its share of a processor.
    pub processor: Millicores,
    /// Whether it is a relay, which hosts ask first that know no others.
    pub relay: bool,
}

impl HostEntry {
    /// Encodes the entry for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let cfg = bincode::config::standard();
        bincode::serde::encode_to_vec(self, cfg)
            .expect("an entry has no type that can't be encoded")
    }

    /// Decodes an entry, also one of an earlier version without the processor, or without the mark of a relay.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        let cfg = bincode::config::standard();
        let ((addr, domain), len) = bincode::serde::decode_from_slice(bytes, cfg)?;
        let (processor, relay) = match &bytes[len..] {
            [] => (Millicores::default(), false),
            rest => {
                let (processor, len) = bincode::serde::decode_from_slice(rest, cfg)?;
                (processor, rest.get(len).is_some_and(|relay| *relay != 0))
            }
        };
        Ok(Self { addr, domain, processor, relay })
    }
}

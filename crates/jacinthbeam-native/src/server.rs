//! A backend server's entry in the store, as JSON.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a server says of itself, under its id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What it does.
    pub service: ServiceName,
    /// Where it takes requests and grants.
    pub addr: SocketAddr,
    /// Where it runs.
    pub domain: FailureDomain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup_left_ms: u64,
}

impl Entry {
    /// The entry as kept in the store.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).expect("names and numbers can always be written").into()
    }
}

/// Reads the entry of the server `id`.
pub fn read(id: &str, bytes: &[u8]) -> Result<Server, String> {
    let entry: Entry = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
    Ok(Server {
        id: id.parse::<ServerId>().map_err(|err| err.to_string())?,
        service: entry.service,
        addr: entry.addr,
        domain: entry.domain,
        slots: entry.slots,
        draining: entry.draining,
        warmup_left: Duration::from_millis(entry.warmup_left_ms),
    })
}

//! A backend server's entry in the store, as JSON.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use jacinthbeam_route::Server;
use jacinthbeam_types::{id::NameError, prelude::*};
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
    /// When this life started, in milliseconds since the Unix epoch. Servers that take a new name at each start need not say it.
    #[serde(default)]
    pub born: Option<u64>,
}

impl Entry {
    /// The entry as kept in the store.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).expect("names and numbers can always be written").into()
    }
}

/// Reads the entry of the server `name`.
pub fn read(name: &str, bytes: &[u8]) -> Result<Server, String> {
    let name: ServerName = name.parse().map_err(|err: NameError| err.to_string())?;
    let entry: Entry = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
    Ok(Server {
        id: ServerId::new(name, entry.born.map(Born)),
        service: entry.service,
        addr: entry.addr,
        domain: entry.domain,
        slots: entry.slots,
        draining: entry.draining,
        warmup_left: Duration::from_millis(entry.warmup_left_ms),
        cold_rate: None,
    })
}

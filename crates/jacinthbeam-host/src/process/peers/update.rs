//! What one host knows of the store and another doesn't yet.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_crash::exchange;
use jacinthbeam_range::map::Revision;
use jacinthbeam_route::{Config, Server};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::HostEntry;
use crate::process::{evacuation::EvacuationUpdate, map_history::MapUpdate};

/// What the asking host knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// Everything of evacuations before this offset.
    pub evacuations_end: Offset,
    /// Everything of the backend servers' entries before this offset.
    pub servers_end: Offset,
    /// Everything of the hosts' entries before this offset.
    pub hosts_end: Offset,
    /// Epoch and version of each ownership map.
    pub maps: BTreeMap<ServiceName, Revision>,
    /// What it tells of servers that ended, and how much it knows of that.
    pub crashes: Option<exchange::Question>,
    /// Whether it asks for nothing else: it reads the store itself, and what it reads is as new.
    pub only_crashes: bool,
    /// Longest wait if there is nothing newer.
    pub wait: Duration,
}

/// What is newer than that.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// How long ago the answering host last heard of the store, by itself or through others.
    pub age: Duration,
    /// Hosts that these news have passed before the answering one: 0 if it reads the store itself, and the store answers it.
    pub steps: u8,
    /// Whether the answering host asks the store itself, answered or not.
    pub asks_store: bool,
    /// How long the answer was held back until there was something new.
    pub waited: Duration,
    /// No newer configuration had been acknowledged so long ago; `None` if nothing is known of it.
    pub config_age: Option<Duration>,
    /// A newer configuration.
    pub config: Option<Config>,
    /// What is newer of evacuations.
    pub evacuations: Vec<EvacuationUpdate>,
    /// Newer entries of backend servers.
    pub servers: Vec<ServerUpdate>,
    /// Everything before this offset is known after them.
    pub servers_end: Offset,
    /// Whether `servers` are all there are, since what has left meanwhile is no longer known.
    pub all_servers: bool,
    /// Newer entries of hosts.
    pub hosts: Vec<(HostId, Offset, HostEntry)>,
    /// Everything before this offset is known after them.
    pub hosts_end: Offset,
    /// Newer ownership maps.
    pub maps: Vec<(ServiceName, MapUpdate)>,
    /// What is new of servers that ended, and of the requests that they were running.
    pub crashes: Option<exchange::Answer>,
}

/// The newest entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The server.
    pub name: ServerName,
    /// Offset of its record.
    pub offset: Offset,
    /// What it says; `None` if the server has left.
    pub server: Option<Server>,
    /// If the server leaves, or has left: how long before the answer the store took the word of it, at the most.
    pub leaving_for: Option<Duration>,
}

impl StateUpdate {
    /// Whether there is nothing newer.
    pub fn is_empty(&self) -> bool {
        self.config.is_none()
            && self.evacuations.is_empty()
            && self.servers.is_empty()
            && self.hosts.is_empty()
            && self.maps.is_empty()
            && self.crashes.as_ref().is_none_or(|crashes| crashes.facts.is_empty())
    }
}

/// Writes a message between hosts.
pub(crate) fn to_bytes(message: &impl Serialize) -> Vec<u8> {
    let cfg = bincode::config::standard();
    bincode::serde::encode_to_vec(message, cfg)
        .expect("a message has no type that can't be encoded")
}

/// Longest message between hosts: a configuration of thousands of routes, or ten thousand servers.
pub(crate) const LONGEST: usize = 4 << 20;

/// Reads a message between hosts.
pub(crate) fn from_bytes<T: for<'de> Deserialize<'de>>(
    bytes: &[u8],
) -> Result<T, bincode::error::DecodeError> {
    let cfg = bincode::config::standard().with_limit::<{ LONGEST * 4 }>();
    Ok(bincode::serde::decode_from_slice(bytes, cfg)?.0)
}

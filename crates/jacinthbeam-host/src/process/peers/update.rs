//! Messages by which one host requests from another what is new in the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use jacinthbeam_crash::exchange;
use jacinthbeam_range::map::Revision;
use jacinthbeam_route::{Admission, Config, Server};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::HostEntry;
use crate::process::{
    evacuation::{Cursor, EvacuationUpdate},
    map_history::MapUpdate,
    replica::digest::{Bucket, BucketDigests, Digest},
};

/// What the requesting host has already, by which the other one selects what is new.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// It has all evacuation records before this offset.
    pub evacuations_end: Offset,
    /// It has all entries of backend servers before this offset.
    pub servers_end: Offset,
    /// It has all entries of hosts before this offset.
    pub hosts_end: Offset,
    /// Epoch and version of each ownership map.
    pub maps: BTreeMap<ServiceName, Revision>,
    /// Crash facts that it sends, and how many of the other host's it has.
    pub crashes: Option<exchange::Question>,
    /// Whether it requests crash facts only, because it reads everything else from the store itself.
    pub only_crashes: bool,
    /// How long the answer may be held back if there is nothing new.
    pub wait: Duration,
    /// The requesting host and its entry, while it follows the other one and doesn't know of an entry of its own in the store.
    pub register: Option<(HostId, HostEntry)>,
    /// What it lists, by which the other host finds removals that it has no record of; `None` from an older build.
    #[serde(skip)]
    pub listed: Option<Listed>,
}

/// What a host lists that requests an update.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The newest record of each failure domain that is or was evacuated.
    pub evacuations: BTreeMap<FailureDomain, Cursor>,
    /// Digest of the listed servers; `None` if a difference is to be ignored.
    pub servers: Option<Digest>,
    /// Digests by name, after an update that left a difference.
    pub buckets: Option<BucketDigests>,
}

/// What is newer than the state described in an [`UpdateRequest`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Age of the answering host's data: how long ago the store confirmed it, to that host or through others.
    pub age: Duration,
    /// Number of hosts that the data passed before the answering one: 0 if that one reads the store itself and the store answers.
    pub steps: u8,
    /// Whether the answering host calls the store itself, answered or not.
    pub asks_store: bool,
    /// How long the answer was held back until there was something new.
    pub waited: Duration,
    /// Age of the configuration: this long ago no newer one had been acknowledged; `None` if that is unknown.
    pub config_age: Option<Duration>,
    /// A newer configuration.
    pub config: Option<Config>,
    /// Newer evacuation records.
    pub evacuations: Vec<EvacuationUpdate>,
    /// Newer entries of backend servers.
    pub servers: Vec<ServerUpdate>,
    /// With these, all entries of backend servers before this offset are known.
    pub servers_end: Offset,
    /// Whether `servers` is the complete list.
    pub all_servers: bool,
    /// Newer entries of hosts.
    pub hosts: Vec<(HostId, Offset, HostEntry)>,
    /// With these, all entries of hosts before this offset are known.
    pub hosts_end: Offset,
    /// Newer ownership maps.
    pub maps: Vec<(ServiceName, MapUpdate)>,
    /// New crash facts.
    pub crashes: Option<exchange::Answer>,
    /// What the lists are complete for; `None` from an older build.
    #[serde(skip)]
    pub coverage: Option<Coverage>,
}

/// What the lists of a [`StateUpdate`] are complete for, by which the other host verifies that it has the same afterwards.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Digest of the servers whose records are before the update's `servers_end`.
    pub servers: Digest,
    /// Whether it differs from the requesting host's, although the update has no servers.
    pub servers_differ: bool,
    /// The buckets of names that the update lists completely, in answer to digests of all buckets.
    pub buckets: Option<BTreeSet<Bucket>>,
    /// With the update's evacuations, all records of the operator before this offset are known.
    pub evacuations_end: Offset,
}

impl UpdateRequest {
    /// Encodes the request. What an older build doesn't know comes last: it ignores what comes after the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = to_bytes(self);
        if let Some(listed) = &self.listed {
            bytes.extend(to_bytes(listed));
        }
        bytes
    }

    /// Decodes a request, also one of an older build.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        let (mut request, rest): (Self, _) = decode_first(bytes)?;
        request.listed = if rest.is_empty() { None } else { Some(from_bytes(rest)?) };
        Ok(request)
    }
}

/// The newest entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The server.
    pub name: ServerName,
    /// Offset of its record.
    pub offset: Offset,
    /// The entry; `None` if the server has left.
    pub server: Option<Server>,
    /// If the server is leaving or has left: upper bound on how long before the answer the store accepted the record of that.
    pub leaving_for: Option<Duration>,
}

impl StateUpdate {
    /// Encodes the update. The services of its configuration whose admission is off come after it, and then what is listed: an older
    /// build ignores what comes after what it knows.
    pub fn to_bytes(&self) -> Vec<u8> {
        let services = self.config.iter().flat_map(|cfg| &cfg.services);
        let off = services.filter(|(_, service)| service.admission == Admission::Off);
        let off: BTreeSet<&ServiceName> = off.map(|(name, _)| name).collect();
        let mut bytes = to_bytes(self);
        if !off.is_empty() || self.coverage.is_some() {
            bytes.extend(to_bytes(&off));
        }
        if let Some(coverage) = &self.coverage {
            bytes.extend(to_bytes(coverage));
        }
        bytes
    }

    /// Decodes an update, also one of an older build, in which no admission is off and nothing is stated to be complete.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        let (mut update, rest): (Self, _) = decode_first(bytes)?;
        let (off, rest): (BTreeSet<ServiceName>, _) = match rest {
            [] => (BTreeSet::new(), rest),
            rest => decode_first(rest)?,
        };
        update.coverage = if rest.is_empty() { None } else { Some(from_bytes(rest)?) };
        let services = update.config.iter_mut().flat_map(|cfg| &mut cfg.services);
        for (_, service) in services.filter(|(name, _)| off.contains(*name)) {
            service.admission = Admission::Off;
        }
        Ok(update)
    }

    /// Whether it contains nothing new.
    pub fn is_empty(&self) -> bool {
        self.config.is_none()
            && self.evacuations.is_empty()
            && self.servers.is_empty()
            && self.hosts.is_empty()
            && self.maps.is_empty()
            && self.crashes.as_ref().is_none_or(|crashes| crashes.facts.is_empty())
            && self
                .coverage
                .as_ref()
                .is_none_or(|coverage| !coverage.servers_differ && coverage.buckets.is_none())
    }
}

/// Encodes a message between hosts.
pub(crate) fn to_bytes(message: &impl Serialize) -> Vec<u8> {
    let cfg = bincode::config::standard();
    bincode::serde::encode_to_vec(message, cfg)
        .expect("a message has no type that can't be encoded")
}

/// Largest message between hosts, in bytes: a configuration of thousands of routes, or ten thousand servers.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Decodes a message between hosts.
pub(crate) fn from_bytes<T: for<'de> Deserialize<'de>>(
    bytes: &[u8],
) -> Result<T, bincode::error::DecodeError> {
    Ok(decode_first(bytes)?.0)
}

/// Decodes the value at the start, and returns it with the bytes after it.
fn decode_first<T: for<'de> Deserialize<'de>>(
    bytes: &[u8],
) -> Result<(T, &[u8]), bincode::error::DecodeError> {
    let cfg = bincode::config::standard().with_limit::<{ MAX_MESSAGE_BYTES * 4 }>();
    let (value, len) = bincode::serde::decode_from_slice(bytes, cfg)?;
    Ok((value, &bytes[len..]))
}

//! The partitions of the store that hold ownership maps, as read by this host itself.

use std::{collections::BTreeMap, rc::Rc};

use jacinthbeam_range::Map;
use jacinthbeam_store::{Lane, keyed::Changes};
use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

/// A map partition as this host has read it, including what it needs for conditional appends.
#[derive(Debug)]
pub(super) struct MapPartition {
    /// All records before this offset are known.
    pub(super) end: Offset,
    /// Whether it was read at least once.
    pub(super) read: bool,
    /// Offset and map of each service's newest record.
    newest: BTreeMap<ServiceName, (Offset, Map)>,
    /// Connection for appends and checks, one call at a time.
    pub(super) lane: Rc<Lane>,
    /// Whether the follower task reads it now.
    pub(super) enabled: watch::Sender<bool>,
}

impl MapPartition {
    pub(super) fn new(lane: Lane, enabled: watch::Sender<bool>) -> Self {
        let (end, newest) = (Offset(0), BTreeMap::new());
        Self { end, read: false, newest, lane: Rc::new(lane), enabled }
    }

    pub(super) fn newest(&self, service: &ServiceName) -> Option<&Map> {
        self.newest.get(service).map(|(_, map)| map)
    }

    /// Applies records read from the store. Returns the maps that are newer than the known ones.
    pub(super) fn apply(&mut self, changes: Changes) -> Vec<(ServiceName, Map)> {
        self.read = true;
        if changes.end.era() > self.end.era() {
            // Records of an earlier era that are not among these are lost.
            self.newest.clear();
        }
        self.end = self.end.max(changes.end);
        let mut newer = Vec::new();
        for item in changes.items {
            match (item.key.parse::<ServiceName>(), Map::from_bytes(&item.value)) {
                (Ok(service), Ok(map)) => {
                    if self.put(service.clone(), item.offset, map.clone()) {
                        newer.push((service, map));
                    }
                }
                (Err(err), _) => {
                    tracing::error!(part = "maps", event = "unreadable-name", error = %err)
                }
                (_, Err(err)) => {
                    tracing::error!(part = "maps", event = "unreadable", service = %item.key, error = %err)
                }
            }
        }
        newer
    }

    /// Applies a record that this host wrote itself at offset `at`.
    pub(super) fn apply_own(&mut self, service: ServiceName, at: Offset, end: Offset, map: Map) {
        self.end = self.end.max(end);
        self.put(service, at, map);
    }

    fn put(&mut self, service: ServiceName, at: Offset, map: Map) -> bool {
        let newer = self.newest.get(&service).is_none_or(|(known, _)| *known < at);
        if newer {
            self.newest.insert(service, (at, map));
        }
        newer
    }
}

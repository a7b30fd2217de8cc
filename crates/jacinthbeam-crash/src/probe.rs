//! Rate limit, across the fleet, for attempts of a request that is on probation.
//!
//! Wall clock time is divided into slots. In each slot one host of the fleet is selected by hash,
//! and more of them the longer ago the last crash is. A selected host admits one attempt per slot.
//! If the clocks or the host lists of hosts differ, a few more hosts may be selected.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use jacinthbeam_types::prelude::*;

use crate::fingerprint::Fingerprint;

/// Length of a slot: the minimum interval between two probes that one host admits for a request.
/// Connected hosts receive the evidence of a crash within this time, which is usually
/// before the next probe.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Each such period without a crash doubles the number of selected hosts.
const DOUBLING_PERIOD: Duration = Duration::from_secs(20);

/// Position of a host in the sorted list of all hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Number of hosts before it.
    pub index: u32,
    /// Number of all hosts; 0 if the host is not in its own list.
    pub hosts: u32,
}

/// Admission of probes by one host.
#[derive(Debug, Default)]
pub struct Prober {
    /// The slot in which the last attempt of a request was admitted.
    last_slot: BTreeMap<Fingerprint, u128>,
}

impl Prober {
    /// Whether an attempt of the request may be sent now, `since` after the last crash. If so, it
    /// uses up this host's slot.
    pub fn admit(
        &mut self,
        request: Fingerprint,
        rank: Rank,
        since: Duration,
        time_of_day: SystemTime,
    ) -> bool {
        let now = time_of_day.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let slot = now.as_millis() / PROBE_INTERVAL.as_millis();
        if !is_selected(request, rank, since, slot) || self.last_slot.get(&request) == Some(&slot) {
            return false;
        }
        self.last_slot.retain(|_, last| last.abs_diff(slot) < 2);
        self.last_slot.insert(request, slot);
        true
    }
}

fn is_selected(request: Fingerprint, rank: Rank, since: Duration, slot: u128) -> bool {
    if rank.hosts == 0 {
        return false;
    }
    let doublings = (since.as_secs() / DOUBLING_PERIOD.as_secs()).min(31) as u32;
    let first = KeyHash::of(format!("{request} {slot}").as_bytes()).0 % u64::from(rank.hosts);
    let distance = (u64::from(rank.index) + u64::from(rank.hosts) - first) % u64::from(rank.hosts);
    distance < 1 << doublings
}

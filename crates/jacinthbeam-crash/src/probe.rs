//! Which host may send an attempt of a request that is on probation.
//!
//! The time of day is cut into slots, and in each slot one host of the fleet is drawn, more of them the longer the last crash was ago.
//! Each lets one attempt a slot through. Clocks that differ, or lists of hosts that do, draw a few more.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use jacinthbeam_types::prelude::*;

use crate::fingerprint::Fingerprint;

/// Length of a slot: hosts in touch observe a crash within it.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a crash after which the number of drawn hosts doubles, and doubles again.
const DOUBLING_PERIOD: Duration = Duration::from_secs(20);

/// The place of a host in the list of all hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Hosts before it.
    pub index: u32,
    /// All hosts; 0 if the host is not on its own list.
    pub hosts: u32,
}

/// The probes of one host.
#[derive(Debug, Default)]
pub struct Prober {
    /// The slot of the last attempt that was let through.
    last_slot: BTreeMap<Fingerprint, u128>,
}

impl Prober {
    /// Whether an attempt of the request may be sent now, so long `since` the last crash. It counts as sent.
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

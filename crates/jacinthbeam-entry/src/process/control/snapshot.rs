//! Copies of the state in the stream, so that older records may expire.

use std::time::{Duration, Instant};

use jacinthbeam_native::format::hosts::HostList;
use jacinthbeam_state::CONTROL;
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use super::Control;

/// Longest time between two snapshots. Must be well below the log's retention, which is hours.
const EVERY: Duration = Duration::from_secs(300);
/// Most records between two snapshots, so that a host that starts has few to apply.
const RECORDS: u64 = 5000;

/// Hosts that append after the usual wait. More than one, so that the loss of one goes unnoticed.
const FIRST: usize = 2;
/// How much longer, in usual waits, each host after the first ones waits than the one before it.
const STEP: f64 = 0.5;
/// Most usual waits of a host. Must leave the records enough time before they expire, also with the host before it.
const MOST: f64 = 8.0;

/// When this host appends a snapshot.
///
/// Hosts are ranked by the platform's list. Without that each of 20,000 hosts would draw a wait
/// from the same two minutes, and all whose wait ends before the first one's snapshot can be read
/// would append theirs too: thousands of appends at once. The first two append, and each of the
/// next ones only if those before it have failed for longer.
#[derive(Debug)]
pub struct Pace {
    /// This host's share of the wait, from a half to the whole.
    share: f64,
    /// Hosts that come before this one.
    rank: usize,
    last_at: Instant,
    last: Offset,
}

/// How many listed hosts come before this one when a snapshot is due. The order is the same on all
/// hosts with the same list; with different lists more hosts append, which does no harm.
pub fn rank(list: &HostList, host: &HostId) -> usize {
    let weight = |host: &HostId| rendezvous_weight(CONTROL, host.as_str());
    let own = weight(host);
    list.entry_hosts.iter().filter(|other| weight(&other.id) > own).count()
}

impl Pace {
    /// Counts from the start of the process. `draw` lies between 0 and 1 and differs between hosts.
    pub fn new(now: Instant, draw: f64) -> Self {
        Self { share: 0.5 + draw / 2.0, rank: 0, last_at: now, last: Offset(0) }
    }

    /// Takes this host's [`rank`] over.
    pub fn ranked(&mut self, rank: usize) {
        self.rank = rank;
    }

    fn wait(&self) -> f64 {
        let later = (self.rank + 1).saturating_sub(FIRST) as f64 * STEP;
        self.share + later.min(MOST)
    }

    /// A snapshot whose last part stands at `offset` was read.
    pub fn seen(&mut self, now: Instant, offset: Offset) {
        self.last_at = now;
        self.last = offset;
    }

    /// Whether this host should append one that reaches up to `next`.
    pub fn is_due(&self, now: Instant, next: Offset) -> bool {
        let records = next.0.saturating_sub(self.last.0);
        let many = records as f64 >= RECORDS as f64 * self.wait();
        let long = now >= self.last_at + EVERY.mul_f64(self.wait()) && records > 1;
        many || long
    }
}

impl Control {
    /// Appends a snapshot when it is due. Two hosts that do it at once do no harm.
    pub(super) fn append_snapshot(&mut self, now: Instant) {
        if !self.snapshots.is_due(now, self.state.next) || self.follow.failures() > 0 {
            return;
        }
        // Counts as seen already, so that an append that fails is tried again only after another wait.
        self.snapshots.seen(now, self.state.next);
        let parts = match self.state.to_snapshot_parts() {
            Ok(parts) => parts,
            Err(err) => return log::error!("log: no snapshot made: {err}"),
        };
        log::info!(
            "log: appends a snapshot up to record {} in {} parts",
            self.state.next,
            parts.len()
        );
        let appends: Vec<_> =
            parts.into_iter().map(|part| self.append(part, "snapshot".to_owned())).collect();
        tokio::spawn(async move {
            for append in appends {
                if append.await.is_none() {
                    return;
                }
            }
        });
    }
}

//! Copies of the state in the stream, so that older records may expire.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use super::Control;

/// Longest time between two snapshots. Must be well below the log's retention, which is hours.
const EVERY: Duration = Duration::from_secs(300);
/// Most records between two snapshots, so that a host that starts has few to apply.
const RECORDS: u64 = 5000;

/// When this host appends a snapshot.
#[derive(Debug)]
pub struct Pace {
    /// This host's share of the wait: most often one host appends, and the others see it in time.
    wait: f64,
    last_at: Instant,
    last: Offset,
}

impl Pace {
    /// Counts from the start of the process.
    pub fn new(now: Instant) -> Self {
        Self { wait: 0.5 + fastrand::f64() / 2.0, last_at: now, last: Offset(0) }
    }

    /// A snapshot whose last part stands at `offset` was read.
    pub fn seen(&mut self, now: Instant, offset: Offset) {
        self.last_at = now;
        self.last = offset;
    }

    fn is_due(&self, now: Instant, next: Offset) -> bool {
        let records = next.0.saturating_sub(self.last.0);
        let many = records as f64 >= RECORDS as f64 * self.wait;
        let long = now >= self.last_at + EVERY.mul_f64(self.wait) && records > 1;
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

//! Carrying each team's totals past the log's retention.
//!
//! A few hosts, picked by rendezvous weight, read the usage stream and append snapshots of its
//! totals. Any number of them may do so at any time; the others spend nothing on it.

use std::time::{Duration, Instant};

use jacinthbeam_admission::usage::{self, Fold, Pace, Record};
use jacinthbeam_native::log::read::{Batch, Error};
use jacinthbeam_state::USAGE;
use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

use super::{Control, Event};

/// Hosts that keep totals. More than one, so that the loss of one goes unnoticed.
const KEEPERS: usize = 2;
/// Time between two reads; nobody waits for the totals.
const EVERY: Duration = Duration::from_secs(5);
/// Most bytes of one read.
const MAX_READ: u32 = 1 << 20;
/// Longest time between two snapshots; must be well below the log's retention, which is hours.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(300);

/// What this host keeps of the usage stream, if it is one of the keepers.
#[derive(Debug)]
pub struct Totals {
    fold: Option<Fold>,
    pace: Pace,
    next_read: Instant,
    reading: bool,
}

impl Totals {
    /// Keeps nothing yet.
    pub fn new(now: Instant) -> Self {
        let pace = Pace::new(now, SNAPSHOT_EVERY, &mut fastrand::Rng::new());
        Self { fold: None, pace, next_read: now, reading: false }
    }
}

impl Control {
    /// Reads on in the usage stream when it is due, if this host is one of the keepers.
    pub(super) fn keep_totals(&mut self, now: Instant) {
        if now < self.totals.next_read || self.totals.reading {
            return;
        }
        self.totals.next_read = now + EVERY;
        if !self.is_keeper() {
            self.totals.fold = None;
            return;
        }
        let fold = self.totals.fold.get_or_insert_with(|| Fold::open(Offset(0)));
        let from = fold.next();
        self.totals.reading = true;
        let client = self.appends.clone();
        self.spawn_event(async move {
            let outcome = client.read(USAGE, from, MAX_READ, Duration::ZERO).await;
            Some(Event::UsageRead { outcome })
        });
    }

    /// A read of the usage stream ended.
    pub(super) fn usage_read(&mut self, outcome: Result<Batch, Error>) {
        self.totals.reading = false;
        let now = self.clock.now();
        let Some(fold) = &mut self.totals.fold else { return };
        let batch = match outcome {
            Ok(batch) => batch,
            Err(Error::Expired { earliest, .. }) => {
                *fold = Fold::open(earliest);
                self.totals.next_read = now;
                return;
            }
            // The next read tries again; nothing is lost while the log keeps the records.
            Err(err) => return log::debug!("usage: totals not read: {err}"),
        };
        for record in &batch.records {
            match usage::decode(&record.bytes) {
                Ok(decoded) => fold.apply(record.offset, &decoded),
                Err(err) => {
                    log::warn!("usage: record {}: {err}", record.offset);
                    fold.skip(record.offset);
                }
            }
        }
        if fold.next() < batch.end {
            self.totals.next_read = now;
        }
        if !self.totals.pace.is_due(now, fold) {
            return;
        }
        if let Some(snapshot) = fold.snapshot() {
            self.append_totals(snapshot);
        }
    }

    fn append_totals(&self, snapshot: Record) {
        let client = self.appends.clone();
        tokio::spawn(async move {
            if let Err(err) = client.append(USAGE, usage::encode(&snapshot)).await {
                log::warn!("usage: snapshot of the totals not appended: {err}");
            }
        });
    }

    fn is_keeper(&self) -> bool {
        let weight = |host: &HostId| rendezvous_weight(USAGE, host.as_str());
        let own = weight(&self.me.host);
        let before = self.list.entry_hosts.iter().filter(|host| weight(&host.id) > own);
        before.count() < KEEPERS
    }
}

//! Appending the counts of each team's use.

use std::time::Instant;

use jacinthbeam_admission::usage::{BatchId, Record, encode, flush_every};
use jacinthbeam_native::log::append::Error;
use jacinthbeam_state::USAGE;

use super::{Control, Event};

/// How long a stopping host tries to append its last counts.
const LAST_FLUSH: std::time::Duration = std::time::Duration::from_secs(5);

/// When the next batch is due.
#[derive(Debug)]
pub struct Flush {
    next: Instant,
    pending: bool,
    /// When a stopping host gives up on the last batch.
    give_up: Option<Instant>,
}

impl Flush {
    /// Counts from the start of the process.
    pub fn new(now: Instant) -> Self {
        Self { next: now, pending: false, give_up: None }
    }
}

impl Control {
    /// Appends a batch when it is due. The same batch is appended until it surely stands in the
    /// log; its reader counts it once.
    pub(super) fn flush_usage(&mut self, now: Instant) {
        if now < self.usage.next || self.usage.pending {
            return;
        }
        let hosts = self.list.entry_hosts.len().max(1) as u32;
        self.usage.next = now + flush_every(hosts);
        let Some(batch) = self.traffic.usage.batch() else { return };
        self.usage.pending = true;
        let id = batch.id;
        let client = self.appends.clone();
        self.spawn_event(async move {
            let written = match client.append(USAGE, encode(&Record::Batch(batch))).await {
                Ok(_) => true,
                Err(Error::Refused(_) | Error::Unknown(_)) => false,
            };
            Some(Event::UsageAppended { id, written })
        });
    }

    /// Whether a stopping host has appended what it counted, or has tried for long enough: the log
    /// may be away for longer than a stop may take.
    pub(super) fn usage_is_flushed(&mut self) -> bool {
        let now = self.clock.now();
        let give_up = *self.usage.give_up.get_or_insert(now + LAST_FLUSH);
        if self.traffic.usage.at_risk() == 0 {
            return true;
        }
        if now >= give_up {
            log::warn!("usage: stops with {} counts not in the log", self.traffic.usage.at_risk());
            return true;
        }
        self.usage.next = now;
        self.flush_usage(now);
        false
    }

    /// The append of a batch has ended.
    pub(super) fn usage_appended(&mut self, id: BatchId, written: bool) {
        self.usage.pending = false;
        if written {
            self.traffic.usage.acknowledged(id);
        } else {
            log::warn!("usage: batch not known to be in the log, is appended again");
        }
    }
}

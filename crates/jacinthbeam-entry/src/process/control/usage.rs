//! Appending the counts of each team's use.

use std::time::Instant;

use jacinthbeam_admission::usage::{BatchId, Record, encode, flush_every};
use jacinthbeam_platform::log::append::Error;
use jacinthbeam_state::USAGE;

use super::{Control, Event};

/// When the next batch is due.
#[derive(Debug)]
pub struct Flush {
    next: Instant,
    pending: bool,
}

impl Flush {
    /// Counts from the start of the process.
    pub fn new(now: Instant) -> Self {
        Self { next: now, pending: false }
    }
}

impl Control {
    /// Appends a batch when it is due. The same batch is appended until it surely stands in the log; its reader counts it once.
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

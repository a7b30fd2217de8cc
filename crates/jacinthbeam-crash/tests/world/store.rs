//! Reads and writes of records in the store.

use super::World;

/// Duration of a write, and minimum time between two writes of a host, in milliseconds.
const WRITE_TIME_MS: u64 = 20;
const WRITE_EVERY_MS: u64 = 200;

impl World {
    /// Stores the records of writes that are complete by now.
    pub(super) fn complete_writes(&mut self) {
        let now = self.now;
        for (_, n, evidence) in self.pending_writes.extract_if(.., |write| write.0 <= now) {
            self.store.insert(n, evidence);
        }
    }

    /// Reads the store once after the start of a host, and writes the host's record if it is due.
    pub(super) fn record(&mut self, n: usize) {
        let (at, time_of_day) = (self.instant(), self.time_of_day());
        let is_recorder = self.first_before(n).is_none();
        let host = &mut self.hosts[n];
        if !std::mem::replace(&mut host.has_read, true) {
            for evidence in self.store.values() {
                host.exchange.merge_record(evidence.clone(), at, time_of_day);
            }
        }
        if !is_recorder || host.wrote_at.is_some_and(|at| self.now < at + WRITE_EVERY_MS) {
            return;
        }
        if let Some(evidence) = host.exchange.take_due_record(at, time_of_day) {
            host.wrote_at = Some(self.now);
            self.pending_writes.push((self.now + WRITE_TIME_MS, n, evidence));
            self.writes += 1;
        }
    }
}

//! What hosts keep in the store.

use super::World;

/// Milliseconds until a write is kept, and from one write of a host to the next.
const WRITE_TAKES: u64 = 20;
const WRITE_EVERY: u64 = 200;

impl World {
    /// Keeps what has reached the store.
    pub(super) fn write(&mut self) {
        let now = self.now;
        for (_, n, evidence) in self.writes.extract_if(.., |write| write.0 <= now) {
            self.store.insert(n, evidence);
        }
    }

    /// Reads the store once, and writes what there is to write.
    pub(super) fn record(&mut self, n: usize) {
        let (at, time_of_day) = (self.at(), self.time_of_day());
        let is_reader = self.first_before(n).is_none();
        let host = &mut self.hosts[n];
        if !std::mem::replace(&mut host.has_read, true) {
            for evidence in self.store.values() {
                host.exchange.merge_record(evidence.clone(), at, time_of_day);
            }
        }
        if !is_reader || host.wrote_at.is_some_and(|at| self.now < at + WRITE_EVERY) {
            return;
        }
        if let Some(evidence) = host.exchange.take_due_record(at, time_of_day) {
            host.wrote_at = Some(self.now);
            self.writes.push((self.now + WRITE_TAKES, n, evidence));
            self.written += 1;
        }
    }
}

//! Whether the store answers the reads of this host, and whose turn it is to ask while it doesn't.

use std::cell::Cell;

use tokio::sync::{Mutex, MutexGuard};

/// Reads that failed one after the other, of any partition, from which on the store counts as away. Single answers are lost now and then, and
/// what they held has two seconds to act.
pub const UNREACHABLE_AFTER: u32 = 3;

/// What the readers of all partitions know of the store together.
///
/// While it is away, one read at a time asks whether it is back. Each partition asking for itself would cost four times as many calls, each
/// of them priced, for the same answer.
#[derive(Debug, Default)]
pub struct StoreReachability {
    failed: Cell<u32>,
    turn: Mutex<()>,
}

impl StoreReachability {
    /// A read has ended.
    pub fn on_read(&self, done: bool) {
        let failed = if done { 0 } else { self.failed.get().saturating_add(1) };
        self.failed.set(failed);
    }

    /// Waits for a turn to ask, which lasts until it is dropped. `None` if none is needed.
    ///
    /// The store may be back once the turn has come. A reader that then kept it through a read that waits for news kept the others from
    /// theirs: for 25 s the hosts of a failure domain went by an old map of owners.
    pub async fn probe_turn(&self) -> Option<MutexGuard<'_, ()>> {
        if !self.is_away() {
            return None;
        }
        let turn = self.turn.lock().await;
        self.is_away().then_some(turn)
    }

    fn is_away(&self) -> bool {
        self.failed.get() >= UNREACHABLE_AFTER
    }
}

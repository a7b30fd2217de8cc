//! Whether the store answers the reads of this host, and which reader probes it while it doesn't.

use std::cell::Cell;

use tokio::sync::{Mutex, MutexGuard};

/// Consecutive failed reads, over all partitions, after which the store counts as unreachable. Single answers are lost now and then, and
/// their records have two seconds to take effect.
pub const UNREACHABLE_AFTER: u32 = 3;

/// Reachability of the store, shared by the readers of all partitions.
///
/// While the store is unreachable, one reader at a time probes it. With every partition probing, the same answer would cost four times
/// as many calls, and each call is charged.
#[derive(Debug, Default)]
pub struct StoreReachability {
    failed: Cell<u32>,
    turn: Mutex<()>,
}

impl StoreReachability {
    /// Records the result of a read.
    pub fn on_read(&self, success: bool) {
        let failed = if success { 0 } else { self.failed.get().saturating_add(1) };
        self.failed.set(failed);
    }

    /// Waits for the turn to probe the store; the turn ends when the guard is dropped. `None` if the store is reachable.
    ///
    /// Reachability is checked again after the wait, since the store may be back by then. A reader that kept the turn through a long-poll
    /// read blocked the other partitions: the hosts of a failure domain used an old ownership map for 25 s.
    pub async fn probe_turn(&self) -> Option<MutexGuard<'_, ()>> {
        if !self.is_unreachable() {
            return None;
        }
        let turn = self.turn.lock().await;
        self.is_unreachable().then_some(turn)
    }

    fn is_unreachable(&self) -> bool {
        self.failed.get() >= UNREACHABLE_AFTER
    }
}

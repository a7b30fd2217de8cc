//! Long polling on the answering side.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use super::update::StateUpdate;

/// Returns an update, waiting up to `wait` until there is something new. `look` returns what is new now; `changes` signals when to call it
/// again.
///
/// The age is that at the time of the answer, not of the request: hosts that poll each other in a ring would otherwise consider each other
/// fresh forever. Data older than `too_old` is answered immediately, so that the other host can select another source.
pub async fn long_poll<V>(
    look: impl AsyncFn() -> StateUpdate,
    mut changes: watch::Receiver<V>,
    wait: Duration,
    too_old: Duration,
) -> StateUpdate {
    let begun = Instant::now();
    let end = begun + wait;
    let mut last = false;
    loop {
        changes.mark_unchanged();
        let update = StateUpdate { waited: begun.elapsed(), ..look().await };
        let left = too_old.saturating_sub(update.age);
        if !update.is_empty() || last || left.is_zero() {
            return update;
        }
        let until = end.min(Instant::now() + left);
        last = !matches!(tokio::time::timeout_at(until, changes.changed()).await, Ok(Ok(())));
    }
}

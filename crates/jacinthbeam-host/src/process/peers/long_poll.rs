//! The answer to a host that asks for news, once there are some.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use super::update::StateUpdate;

/// Finds news, waiting up to `wait` for some if there are none. `look` says what is newer now; `changes` tells when to look again.
///
/// The age is told as it is at the answer, not as it was at the question: hosts that ask each other in a ring would otherwise
/// find each other fresh for ever. News older than `too_old` are answered at once, so that the other host can turn elsewhere.
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
        let news = StateUpdate { waited: begun.elapsed(), ..look().await };
        let left = too_old.saturating_sub(news.age);
        if !news.is_empty() || last || left.is_zero() {
            return news;
        }
        let until = end.min(Instant::now() + left);
        last = !matches!(tokio::time::timeout_at(until, changes.changed()).await, Ok(Ok(())));
    }
}

//! Following the store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_store::{
    Backoff, Client, Partition,
    keyed::{Changes, Follower},
};
use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

use super::input::{Input, Tx};

/// Longest wait of a read for the next host: two calls a minute, and nothing depends on hearing of one at once.
pub(super) const HOSTS_WAIT: Duration = Duration::from_secs(25);

/// Longest wait of a read for the next configuration. A change is heard of at once; but if the answer is lost, only the end of
/// the wait shows it, and what was acknowledged has two seconds to act.
pub(super) const OPERATOR_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait of a read for the next ownership map. A missed one shows as refusals by former owners.
pub(super) const MAPS_WAIT: Duration = Duration::from_secs(4);

/// Pause between reads of the backend servers' entries. Each of them writes once a second or so, so that a read that waits
/// would come back at once. What is learnt of a server's leaving has two seconds to act.
pub(super) const SERVERS_EVERY: Duration = Duration::from_millis(500);

/// Pause between reads of the hosts' entries, all of which come within the same second.
pub(super) const HOSTS_EVERY: Duration = Duration::from_millis(2000);

/// Pauses after failed reads.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Time after which a host that has heard nothing of the configuration is not followed by others.
pub(super) const OPERATOR_LOST_AFTER: Duration = Duration::from_millis(1900);

/// How one partition is followed.
pub(super) struct Followed {
    /// The partition.
    pub(super) partition: Partition,
    /// Longest wait of a read.
    pub(super) wait: Duration,
    /// Pause between reads.
    pub(super) every: Duration,
    /// Whether it is read at all now; else the same comes from another host.
    pub(super) gate: watch::Receiver<bool>,
}

/// The moment before which everything is known, after a read that was sent then and might wait for so long.
///
/// One that found nothing has waited to the end, and there was nothing until then. Without it a host would find what it knows a second old
/// right after it was told that nothing is newer.
pub(super) fn as_of(asked: Instant, wait: Duration, changes: &Changes) -> Instant {
    if changes.items.is_empty() { asked + wait } else { asked }
}

/// Follows a partition for ever. `input` makes an input of what was read and when the read was sent.
pub(super) async fn follow(
    store: Client,
    mut followed: Followed,
    clock: Arc<dyn Clock>,
    tx: Tx,
    input: impl Fn(Instant, Changes) -> Input,
) {
    let lane = store.lane();
    let mut follower = Follower::new(followed.partition);
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut lost = false;
    loop {
        if !*followed.gate.borrow() {
            // What comes meanwhile is mostly heartbeats; the newest of each key is less than all of them.
            follower.start_over();
            // An error is the end of the process.
            if followed.gate.wait_for(|open| *open).await.is_err() {
                return;
            }
        }
        let asked = clock.now();
        match follower.look(&lane, followed.wait).await {
            Ok(changes) => {
                if std::mem::take(&mut lost) {
                    tracing::info!(part = "store", event = "regained", partition = %follower.partition());
                }
                backoff.reset();
                if tx.send(input(asked, changes)).is_err() {
                    return;
                }
                tokio::time::sleep(followed.every).await;
            }
            Err(err) => {
                if !std::mem::replace(&mut lost, true) {
                    tracing::warn!(part = "store", event = "lost", partition = %follower.partition(), error = %err);
                }
                tokio::time::sleep(backoff.pause()).await;
            }
        }
    }
}

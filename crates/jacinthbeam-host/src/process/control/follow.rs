//! Follows partitions of the store: reads them repeatedly and sends what is new to the control thread.

use std::{
    rc::Rc,
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
use crate::process::reach::StoreReachability;

/// Longest wait of a long poll for changed host entries: two calls a minute, since nothing depends on seeing a host immediately.
pub(super) const HOSTS_MAX_WAIT: Duration = Duration::from_secs(25);

/// Longest wait of a long poll for operator records. A change ends the wait, but a lost answer shows only when the wait has timed out, and
/// an acknowledged change must act within two seconds.
pub(super) const OPERATOR_MAX_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait of a long poll for ownership maps. A missed map shows as refusals by former owners.
pub(super) const MAPS_MAX_WAIT: Duration = Duration::from_secs(4);

/// Pause between reads of the backend servers' entries. Each server writes about once a second, so a long poll would return immediately.
/// Requests to a leaving server must end within two seconds.
pub(super) const SERVERS_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Pause between reads of the hosts' entries, which are all written within the same second when a fleet starts.
pub(super) const HOSTS_READ_INTERVAL: Duration = Duration::from_millis(2000);

/// Bounds of the backoff after failed reads. At its longest, three hosts of a failure domain together probe the store four times a second.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Time without an answered read of a map partition after which other hosts stop following this one: the longest wait of a read, plus time
/// for a slow or lost answer.
pub(super) const MAPS_MAX_STALENESS: Duration = Duration::from_millis(5800);

/// Time without an answered read of the operator's records after which other hosts stop following this one.
pub(super) const OPERATOR_MAX_STALENESS: Duration = Duration::from_millis(1900);

/// How one partition is followed.
pub(super) struct FollowOptions {
    /// The partition.
    pub(super) partition: Partition,
    /// Longest wait of a read for new records.
    pub(super) wait: Duration,
    /// Pause between reads.
    pub(super) interval: Duration,
    /// Whether to read now; otherwise another host supplies the same data.
    pub(super) enabled: watch::Receiver<bool>,
}

/// The result of reading a partition.
pub(super) struct Read {
    /// When it was sent.
    pub(super) sent_at: Instant,
    /// Longest time for which the store may have held the answer back for new records.
    wait: Duration,
    pub(super) changes: Changes,
}

impl Read {
    /// The time as of which the partition is fully known.
    ///
    /// A read without new records has waited in full, so there was none until its end. Counting from the time it was sent would make the
    /// data look a second old right after the store confirmed it.
    pub(super) fn as_of(&self) -> Instant {
        let waited = self.changes.items.is_empty() && !self.changes.whole;
        if waited { self.sent_at + self.wait } else { self.sent_at }
    }
}

/// Follows a partition until the control thread ends. `input` turns each result into an input.
pub(super) async fn follow(
    store: Client,
    reach: Rc<StoreReachability>,
    mut options: FollowOptions,
    clock: Arc<dyn Clock>,
    tx: Tx,
    input: impl Fn(Read) -> Input,
) {
    let lane = store.lane();
    let mut follower = Follower::new(options.partition);
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    let mut lost = false;
    loop {
        if !*options.enabled.borrow() {
            // Records written during the pause are mostly heartbeats; rereading the newest record of each key is less data.
            follower.start_over();
            // Fails only when the control thread ends.
            if options.enabled.wait_for(|enabled| *enabled).await.is_err() {
                return;
            }
        }
        let probe = reach.probe_turn().await;
        // A probe of an unreachable store must not wait for new records.
        let wait = if probe.is_some() { Duration::ZERO } else { options.wait };
        let sent_at = clock.now();
        let result = follower.look(&lane, wait).await;
        reach.on_read(result.is_ok());
        match result {
            Ok(changes) => {
                drop(probe);
                if std::mem::take(&mut lost) {
                    tracing::info!(part = "store", event = "regained", partition = %follower.partition());
                }
                backoff.reset();
                if tx.send(input(Read { sent_at, wait, changes })).is_err() {
                    return;
                }
                tokio::time::sleep(options.interval).await;
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

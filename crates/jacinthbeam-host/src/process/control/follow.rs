//! Following the store.

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

/// Longest wait of a read for the next host: two calls a minute, and nothing depends on hearing of one at once.
pub(super) const HOSTS_MAX_WAIT: Duration = Duration::from_secs(25);

/// Longest wait of a read for the next configuration. A change is heard of at once; but if the answer is lost, only the end of
/// the wait shows it, and what was acknowledged has two seconds to act.
pub(super) const OPERATOR_MAX_WAIT: Duration = Duration::from_millis(1000);

/// Longest wait of a read for the next ownership map. A missed one shows as refusals by former owners.
pub(super) const MAPS_MAX_WAIT: Duration = Duration::from_secs(4);

/// Pause between reads of the backend servers' entries. Each of them writes once a second or so, so that a read that waits
/// would come back at once. What is learnt of a server's leaving has two seconds to act.
pub(super) const SERVERS_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Pause between reads of the hosts' entries, all of which come within the same second.
pub(super) const HOSTS_READ_INTERVAL: Duration = Duration::from_millis(2000);

/// Pauses after failed reads. At the longest three hosts of a failure domain ask four times a second together whether the store is back.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Time after which a host that has heard nothing of a map of owners is not options by others: the longest wait of a read, and a second for a
/// slow answer or one that is lost.
pub(super) const MAPS_MAX_STALENESS: Duration = Duration::from_millis(5800);

/// Time after which a host that has heard nothing of the configuration is not options by others.
pub(super) const OPERATOR_MAX_STALENESS: Duration = Duration::from_millis(1900);

/// How one partition is options.
pub(super) struct FollowOptions {
    /// The partition.
    pub(super) partition: Partition,
    /// Longest wait of a read.
    pub(super) wait: Duration,
    /// Pause between reads.
    pub(super) every: Duration,
    /// Whether it is read at all now; else the same comes from another host.
    pub(super) gate: watch::Receiver<bool>,
}

/// What a read of a partition gave.
pub(super) struct Read {
    /// When it was sent.
    pub(super) asked: Instant,
    /// How long the store might hold it back until there was something.
    wait: Duration,
    pub(super) changes: Changes,
}

impl Read {
    /// The moment before which everything is known.
    ///
    /// A read that found nothing new has waited to the end, and there was nothing until then. Without it a host would find what it knows
    /// a second old right after it was told that nothing is newer.
    pub(super) fn as_of(&self) -> Instant {
        let waited = self.changes.items.is_empty() && !self.changes.whole;
        if waited { self.asked + self.wait } else { self.asked }
    }
}

/// Follows a partition for ever. `input` makes an input of what was read.
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
        if !*options.gate.borrow() {
            // What comes meanwhile is mostly heartbeats; the newest of each key is less than all of them.
            follower.start_over();
            // An error is the end of the process.
            if options.gate.wait_for(|open| *open).await.is_err() {
                return;
            }
        }
        let turn = reach.probe_turn().await;
        // A read that asks whether the store is back waits for nothing else.
        let wait = if turn.is_some() { Duration::ZERO } else { options.wait };
        let asked = clock.now();
        let result = follower.look(&lane, wait).await;
        reach.on_read(result.is_ok());
        match result {
            Ok(changes) => {
                drop(turn);
                if std::mem::take(&mut lost) {
                    tracing::info!(part = "store", event = "regained", partition = %follower.partition());
                }
                backoff.reset();
                if tx.send(input(Read { asked, wait, changes })).is_err() {
                    return;
                }
                tokio::time::sleep(options.every).await;
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

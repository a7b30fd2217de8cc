//! A host's entry in the list of hosts, which others find it by.

use std::time::Duration;

use bytes::Bytes;
use jacinthbeam_range::grantor::timing::RESIGN_COOLDOWN;
use jacinthbeam_store::{
    Backoff, Call, Lane, Partition,
    keyed::{Changes, Follower},
};
use jacinthbeam_types::prelude::*;

use super::input::{Input, Tx};
use crate::process::peers::{HostEntry, order};

/// Pauses after failed reads of the list. A host that can't read it knows nobody else to ask, and all of a fleet may be in that place.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// First pause after an entry that was not kept.
const PUT_AGAIN: Duration = Duration::from_millis(200);

/// Time in which all hosts that start together have put their entries, and some more for calls that take longer.
const SETTLE: Duration = Duration::from_millis(400);

/// What the task needs.
pub(super) struct Enlist {
    pub(super) lane: Lane,
    /// The list of hosts.
    pub(super) list: Partition,
    pub(super) host: HostId,
    /// What is to stand there.
    pub(super) entry: HostEntry,
    pub(super) tx: Tx,
}

/// Reads the list of hosts once, and puts this host's entry there unless it is.
///
/// That is one read for each host that starts, and a write for those that are new. New ones look for others only when all that start
/// with them have put their entries, and one that had found nobody before it in its failure domain reads once more: it would read the whole
/// store else, as would each that comes later and before it in the order.
pub(super) async fn run(enlist: Enlist) {
    let listed = enlist.read().await;
    if order::has(&enlist.host, &enlist.entry, &listed) {
        return enlist.tell(listed);
    }
    enlist.put().await;
    tokio::time::sleep(SETTLE).await;
    let is_first = order::is_first(&enlist.host, &enlist.entry, &listed);
    enlist.tell(if is_first { enlist.read().await } else { listed });
}

impl Enlist {
    async fn read(&self) -> Changes {
        let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
        loop {
            match Follower::new(self.list.clone()).look(&self.lane, Duration::ZERO).await {
                Ok(changes) => return changes,
                Err(err) => {
                    tracing::info!(part = "hosts", event = "not-read", error = %err);
                    tokio::time::sleep(backoff.pause()).await;
                }
            }
        }
    }

    fn tell(&self, listed: Changes) {
        if self.tx.send(Input::Hosts(listed)).is_err() {
            tracing::debug!(part = "hosts", event = "stopped-meanwhile");
        }
    }

    /// Says in the store where this host is, until that is kept.
    async fn put(&self) {
        let mut backoff = Backoff::new(PUT_AGAIN, RESIGN_COOLDOWN);
        let value = Bytes::from(self.entry.to_bytes());
        let (to, key) = (self.list.clone(), self.host.to_string());
        let call = Call::Put { to, key, value, only_at: None };
        while let Err(err) = self.lane.call(&call).await {
            tracing::info!(part = "hosts", event = "not-announced", error = %err);
            tokio::time::sleep(backoff.pause()).await;
        }
    }
}

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
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// First pause after an entry that was not kept.
const INITIAL_WRITE_BACKOFF: Duration = Duration::from_millis(200);

/// Time in which all hosts that start together have put their entries, and some more for calls that take longer.
const REGISTRATION_WINDOW: Duration = Duration::from_millis(400);

/// What the task needs.
pub(super) struct Registration {
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
pub(super) async fn run(registration: Registration) {
    let listed = registration.read().await;
    if order::has(&registration.host, &registration.entry, &listed) {
        return registration.tell(listed);
    }
    registration.put().await;
    tokio::time::sleep(REGISTRATION_WINDOW).await;
    let is_first = order::is_first(&registration.host, &registration.entry, &listed);
    registration.tell(if is_first { registration.read().await } else { listed });
}

impl Registration {
    async fn read(&self) -> Changes {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
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
        let mut backoff = Backoff::new(INITIAL_WRITE_BACKOFF, RESIGN_COOLDOWN);
        let value = Bytes::from(self.entry.to_bytes());
        let (to, key) = (self.list.clone(), self.host.to_string());
        let call = Call::Put { to, key, value, only_at: None };
        while let Err(err) = self.lane.call(&call).await {
            tracing::info!(part = "hosts", event = "not-announced", error = %err);
            tokio::time::sleep(backoff.pause()).await;
        }
    }
}

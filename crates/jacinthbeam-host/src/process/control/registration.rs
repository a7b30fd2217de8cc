//! Registers this host in the list of hosts, by which other hosts find it.

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

/// Bounds of the backoff after failed reads of the list. A host without the list can only poll the seed hosts of its settings, if there are
/// any, and a whole fleet may be in that state.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// First pause after a failed write of the entry.
const INITIAL_WRITE_BACKOFF: Duration = Duration::from_millis(200);

/// Time within which all hosts that start together have written their entries, with a margin for slow calls.
const REGISTRATION_WINDOW: Duration = Duration::from_millis(400);

/// What the registration task needs.
pub(super) struct Registration {
    pub(super) lane: Lane,
    /// The list of hosts.
    pub(super) list: Partition,
    pub(super) host: HostId,
    /// This host's entry.
    pub(super) entry: HostEntry,
    pub(super) tx: Tx,
}

/// Reads the list of hosts, writes this host's entry unless it is listed already, and sends the list to the control thread.
///
/// This costs one read per starting host, and one write per new one. A new host waits until all that start with it have registered. A
/// host that found no predecessor in the order of its failure domain then reads the list again, to find predecessors that registered
/// meanwhile; without this, all of them would read the store.
pub(super) async fn run(registration: Registration) {
    let listed = registration.read().await;
    if order::is_listed(&registration.host, &registration.entry, &listed) {
        return registration.report(listed);
    }
    registration.write_entry().await;
    tokio::time::sleep(REGISTRATION_WINDOW).await;
    let is_first = order::is_first(&registration.host, &registration.entry, &listed);
    registration.report(if is_first { registration.read().await } else { listed });
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

    fn report(&self, listed: Changes) {
        if self.tx.send(Input::Hosts(listed)).is_err() {
            tracing::debug!(part = "hosts", event = "stopped-meanwhile");
        }
    }

    /// Writes this host's entry, retrying with backoff until the store has accepted it.
    async fn write_entry(&self) {
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

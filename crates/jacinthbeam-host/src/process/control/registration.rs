//! Registers this host in the store: as a relay, if its failure domain lacks some, and in the list of hosts.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use jacinthbeam_range::grantor::timing::RESIGN_COOLDOWN;
use jacinthbeam_store::{
    Backoff, Call, Lane, Partition,
    keyed::{Changes, Follower},
};
use jacinthbeam_types::prelude::*;
use tokio::sync::watch;

use super::input::{Input, Tx};
use crate::process::peers::{HostEntry, relay};

/// Bounds of the backoff after failed reads of a list. A host without the list can only poll the seed hosts of its settings, if there are
/// any, and a whole fleet may be in that state.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// First pause after a failed write of the entry.
const INITIAL_WRITE_BACKOFF: Duration = Duration::from_millis(200);

/// Time after which a host that reads the store for others lists itself as a relay.
const READER_LISTING_DELAY: Duration = Duration::from_secs(3);

/// What the registration task needs.
pub(super) struct Registration {
    pub(super) lane: Lane,
    /// The list of relays.
    pub(super) relays: Partition,
    /// The list of hosts.
    pub(super) hosts: Partition,
    pub(super) host: HostId,
    /// This host's entry as a relay.
    pub(super) entry: HostEntry,
    pub(super) processor: Millicores,
    /// Whether no host is listed yet.
    pub(super) first_start: bool,
    /// Whether this host reads the store itself.
    pub(super) direct: Rc<watch::Sender<bool>>,
    pub(super) tx: Tx,
}

/// Sends the relays to the control thread, after adding this host to them if its failure domain lacks some. Then lists this host as a relay
/// if it becomes a reader.
///
/// A host that isn't a relay makes one call: its entry in the list of hosts is written by the host that it follows. A relay also reads the
/// list of hosts, and the crash evidence in the same partition, since it may be the first to serve.
pub(super) async fn run(registration: Registration) {
    let era = registration.lane.subscribe_era();
    let relays = registration.find_relays().await;
    if !registration.is_listed(&relays) {
        registration.report(Input::Relays(relays));
        registration.list_reader().await;
        return registration.list_again(era).await;
    }
    let hosts = registration.read(&registration.hosts).await;
    if !registration.is_listed(&hosts) {
        registration.write_entry(&registration.hosts).await;
    }
    registration.report(Input::Hosts(hosts));
    registration.report(Input::Relays(relays));
    registration.list_again(era).await;
}

impl Registration {
    /// Reads the relays, and becomes one if there are too few.
    async fn find_relays(&self) -> Changes {
        if !self.first_start {
            let relays = self.read(&self.relays).await;
            if relay::suffice(&self.host, &self.entry, &relays) {
                return relays;
            }
        }
        tokio::time::sleep(relay::turn(self.processor, fastrand::f64())).await;
        let relays = self.read(&self.relays).await;
        if relay::suffice(&self.host, &self.entry, &relays) {
            return relays;
        }
        self.write_entry(&self.relays).await;
        tokio::time::sleep(relay::SETTLE_TIME).await;
        self.read(&self.relays).await
    }

    /// Waits until this host has read the store for some time, and lists it as a relay.
    async fn list_reader(&self) {
        let mut direct = self.direct.subscribe();
        while direct.wait_for(|direct| *direct).await.is_ok() {
            tokio::time::sleep(READER_LISTING_DELAY).await;
            if *direct.borrow() {
                self.write_entry(&self.relays).await;
                return self.write_entry(&self.hosts).await;
            }
        }
    }

    /// Lists this host, which is a relay, each time that the store was restored, since its entries may be lost.
    async fn list_again(&self, mut era: watch::Receiver<Era>) {
        era.mark_unchanged();
        while era.changed().await.is_ok() {
            self.write_entry(&self.relays).await;
            self.write_entry(&self.hosts).await;
        }
    }

    fn is_listed(&self, list: &Changes) -> bool {
        relay::is_listed(&self.host, &self.entry, list)
    }

    async fn read(&self, list: &Partition) -> Changes {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        loop {
            match Follower::new(list.clone()).look(&self.lane, Duration::ZERO).await {
                Ok(changes) => return changes,
                Err(err) => {
                    tracing::info!(part = "hosts", event = "not-read", list = %list, error = %err);
                    tokio::time::sleep(backoff.pause()).await;
                }
            }
        }
    }

    fn report(&self, listed: Input) {
        if self.tx.send(listed).is_err() {
            tracing::debug!(part = "hosts", event = "stopped-meanwhile");
        }
    }

    /// Writes this host's entry, retrying with backoff until the store has accepted it.
    async fn write_entry(&self, list: &Partition) {
        let mut backoff = Backoff::new(INITIAL_WRITE_BACKOFF, RESIGN_COOLDOWN);
        let value = Bytes::from(self.entry.to_bytes());
        let (to, key) = (list.clone(), self.host.to_string());
        let call = Call::Put { to, key, value, only_at: None };
        while let Err(err) = self.lane.call(&call).await {
            tracing::info!(part = "hosts", event = "not-announced", list = %list, error = %err);
            tokio::time::sleep(backoff.pause()).await;
        }
    }
}

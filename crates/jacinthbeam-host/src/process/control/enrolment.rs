//! Writes the entries of hosts that follow this one to the list of hosts, many in one append.
//!
//! If each host appended its own entry, a fleet that starts would queue for one partition longer than the store lets appends wait.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use jacinthbeam_store::{Backoff, Call, Lane, Partition};
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc;

use super::state::Control;
use crate::process::peers::{HostEntry, enrolment::Enrolments, update::UpdateRequest};

/// Time for which entries are collected before they are written.
const COLLECTING_TIME: Duration = Duration::from_millis(200);

/// Bounds of the backoff after a failed write.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Most entries of one append, some 100 bytes each.
const MAX_ENTRIES: usize = 1000;

/// What the task needs.
pub(super) struct Enroller {
    pub(super) lane: Lane,
    /// The list of hosts.
    pub(super) to: Partition,
    pub(super) entries: mpsc::UnboundedReceiver<(HostId, HostEntry)>,
    pub(super) clock: Arc<dyn Clock>,
}

impl Enroller {
    /// Writes entries in batches until the control thread ends.
    pub(super) async fn run(mut self) {
        let mut enrolments = Enrolments::default();
        while let Some((host, entry)) = self.entries.recv().await {
            enrolments.add(host, entry, self.clock.now());
            tokio::time::sleep(COLLECTING_TIME).await;
            while let Ok((host, entry)) = self.entries.try_recv() {
                enrolments.add(host, entry, self.clock.now());
            }
            loop {
                let batch = enrolments.next_batch(MAX_ENTRIES, self.clock.now());
                if batch.is_empty() {
                    break;
                }
                self.write(batch).await;
            }
        }
    }

    async fn write(&self, batch: BTreeMap<HostId, HostEntry>) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let record =
            |(host, entry): (HostId, HostEntry)| (host.to_string(), Bytes::from(entry.to_bytes()));
        let records: Vec<_> = batch.into_iter().map(record).collect();
        tracing::info!(part = "hosts", event = "enrols", hosts = %records.len());
        let call = Call::PutAll { to: self.to.clone(), records };
        while let Err(err) = self.lane.append(&call).await {
            tracing::info!(part = "hosts", event = "not-enrolled", error = %err);
            tokio::time::sleep(backoff.pause()).await;
        }
    }
}

impl Control {
    /// Adds this host's entry to a request to the host that it follows, until it knows that the entry is in the store.
    pub(super) fn add_registration(&self, request: &mut UpdateRequest, follows: bool) {
        let entry = self.entry();
        if follows && !self.replica.lists_host(&self.me.host, &entry) {
            request.register = Some((self.me.host.clone(), entry));
        }
    }

    /// Enrols the requesting host, unless its entry is listed.
    pub(super) fn enrol(&self, request: &UpdateRequest) {
        let Some((host, entry)) = &request.register else { return };
        if self.replica.lists_host(host, entry) {
            return;
        }
        if self.enrolments.send((host.clone(), entry.clone())).is_err() {
            tracing::debug!(part = "hosts", event = "stopped-meanwhile");
        }
    }
}

//! Crash evidence against requests (queries of death): observed by this host, exchanged with other hosts, and recorded in the store.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use jacinthbeam_crash::{Evidence, Fact, Outcome, cases::LogPosition, exchange};
use jacinthbeam_store::{Backoff, Call, Item, Lane, Partition};
use tokio::sync::watch;

use super::{cross_domain, feed, state::Control, update_client::UpdateScope};
use crate::process::peers::update::{StateUpdate, UpdateRequest};

/// Shortest interval between two publications of crash facts. When a failure domain loses power, hundreds of facts arrive within a second, and
/// each publication causes an answer to every host that follows this one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of the keys in the hosts partition under which hosts record crash evidence. No host name starts with it.
pub(super) const EVIDENCE_PREFIX: &str = "crashes/";

/// Shortest interval between two evidence records of this host.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds of the backoff after a failed write of a record.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Interval between two checks for expired evidence.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Adds a fact observed by this host.
    pub(super) fn on_crash(&mut self, fact: Fact) {
        let crashed = match &fact.outcome {
            Outcome::Crashed { server, .. } => Some(server),
            Outcome::Succeeded { .. } | Outcome::Allowed => None,
        };
        tracing::info!(part = "crash", event = "seen", request = %fact.request, crashed = crashed.map(tracing::field::display));
        let now = self.clock.now();
        self.crashes.observe(fact, now);
    }

    /// Merges an evidence record read from the store.
    pub(super) fn on_evidence(&mut self, item: &Item) {
        if item.value.is_empty() {
            return;
        }
        let (now, time_of_day) = (self.clock.now(), SystemTime::now());
        match Evidence::from_bytes(&item.value) {
            Ok(evidence) => {
                if self.crashes.merge_record(evidence, now, time_of_day) {
                    tracing::info!(part = "crash", event = "read-back", record = %item.key);
                }
            }
            Err(err) => self.note_unreadable("evidence", item, &err.to_string()),
        }
    }

    /// Schedules a write of the evidence that must survive a restart of all hosts. Only hosts that read the store write it, also for those
    /// that follow them.
    fn record_evidence(&mut self, now: Instant) {
        // A write before the first read would overwrite the record of this host's previous incarnation.
        let may_write = self.has_read_hosts && *self.direct.borrow();
        let is_due = self.crash_sync.recorded.is_none_or(|at| now >= at + RECORD_INTERVAL);
        if !may_write || !is_due {
            return;
        }
        if let Some(evidence) = self.crashes.take_due_record(now, SystemTime::now()) {
            tracing::info!(part = "crash", event = "record", facts = %evidence.facts.len());
            self.crash_sync.recorded = Some(now);
            self.evidence.send_replace(evidence.to_bytes().into());
        }
    }

    /// The request to send to the host at `of`.
    pub(super) fn build_request(&self, of: SocketAddr, scope: UpdateScope) -> UpdateRequest {
        let now = self.clock.now();
        let mut request = match scope {
            UpdateScope::All => {
                let mut request = self.replica.update_request(feed::MAX_WAIT);
                self.add_registration(&mut request, self.last_source == Some(of));
                request
            }
            UpdateScope::Crashes => UpdateRequest {
                only_crashes: true,
                wait: cross_domain::MAX_WAIT,
                ..UpdateRequest::default()
            },
        };
        let crashes = self.crashes.question(of, now);
        if crashes.end < self.crashes.end() {
            request.wait = Duration::ZERO;
        }
        request.crashes = Some(crashes);
        request
    }

    /// What this host has and the requesting host lacks.
    pub(super) fn answer_request(&mut self, request: &UpdateRequest) -> StateUpdate {
        self.enrol(request);
        let now = self.clock.now();
        let update = match request.only_crashes {
            true => StateUpdate::default(),
            false => self.replica.update_for(request, self.contact.age(now), now),
        };
        let crashes = request.crashes.as_ref().map(|question| self.crashes.answer(question, now));
        let (steps, asks_store) = (self.contact.steps(now), *self.direct.borrow());
        StateUpdate { steps, asks_store, crashes, ..update }
    }

    /// Merges crash facts from the host at `of`.
    pub(super) fn on_peer_crashes(&mut self, of: SocketAddr, answer: exchange::Answer) {
        let now = self.clock.now();
        self.crashes.on_answer(of, answer, now);
    }

    /// Publishes changed crash evidence to the traffic thread and to hosts that follow this one, at most once in [`PUBLISH_INTERVAL`].
    pub(super) fn publish_crashes(&mut self) {
        let now = self.clock.now();
        self.record_evidence(now);
        let sync = self.crash_sync;
        let is_due = sync.published.is_none_or(|at| now >= at + PUBLISH_INTERVAL);
        let is_new = sync.published_end != self.crashes.end();
        if !is_due || !(is_new || self.expire_crashes(now)) {
            return;
        }
        self.crash_sync.published = Some(now);
        self.crash_sync.published_end = self.crashes.end();
        let suspects = self.crashes.suspects();
        let refused = suspects.iter().filter(|(_, suspect)| suspect.is_quarantined());
        self.counters.on_suspects(suspects.iter().count(), refused.count());
        self.replica.set_suspects(suspects);
        self.publish();
        self.push_end.send_if_modified(|known| {
            let push_end = self.crashes.push_end();
            std::mem::replace(known, push_end) != push_end
        });
    }

    fn expire_crashes(&mut self, now: Instant) -> bool {
        if self.crash_sync.expired.is_some_and(|at| now < at + EXPIRE_INTERVAL) {
            return false;
        }
        self.crash_sync.expired = Some(now);
        self.crashes.expire(now)
    }
}

/// Writes this host's newest evidence to the store.
pub(super) struct Recorder {
    pub(super) lane: Lane,
    pub(super) to: Partition,
    pub(super) key: String,
    pub(super) evidence: watch::Receiver<Bytes>,
}

impl Recorder {
    /// Writes each change, retrying with backoff until the store has accepted it or a newer one.
    pub(super) async fn run(mut self) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        // Fails only when the control thread ends.
        while self.evidence.changed().await.is_ok() {
            loop {
                let call = self.newest();
                let Err(err) = self.lane.call(&call).await else { break };
                tracing::info!(part = "crash", event = "not-recorded", error = %err);
                tokio::time::sleep(backoff.pause()).await;
            }
            backoff.reset();
        }
    }

    fn newest(&mut self) -> Call {
        let value = self.evidence.borrow_and_update().clone();
        Call::Put { to: self.to.clone(), key: self.key.clone(), value, only_at: None }
    }
}

/// Progress of publishing and recording crash evidence.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct SyncState {
    published: Option<Instant>,
    published_end: LogPosition,
    /// Time of the latest scheduled record.
    recorded: Option<Instant>,
    /// Time of the latest check for expired evidence.
    expired: Option<Instant>,
}

//! Evidence of queries of death: observed by this host's own sends, exchanged with other hosts, kept in the store.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use jacinthbeam_crash::{Evidence, Fact, Outcome, cases::LogPosition, exchange};
use jacinthbeam_store::{Backoff, Call, Item, Lane, Partition};
use tokio::sync::watch;

use super::{cross_domain, feed, state::Control, update_client::Topic};
use crate::process::peers::update::{StateUpdate, UpdateRequest};

/// Least pause between two times that other hosts are told of facts. When a failure domain loses power hundreds of them come
/// within a second, and each telling is an answer to every host that follows this one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Keys of the list of hosts that begin so hold what a host knows of crashes. No host is named so.
pub(super) const EVIDENCE_PREFIX: &str = "crashes/";

/// Least pause between two records of this host.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);

/// Pauses after a record that was not kept.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Pause between two looks for what has stood for long enough.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Takes what this host's own sends have shown.
    pub(super) fn on_crash(&mut self, fact: Fact) {
        let crashed = match &fact.outcome {
            Outcome::Crashed { server, .. } => Some(server),
            Outcome::Succeeded { .. } | Outcome::Allowed => None,
        };
        tracing::info!(part = "crash", event = "seen", request = %fact.request, crashed = crashed.map(tracing::field::display));
        let now = self.clock.now();
        self.crashes.observe(fact, now);
    }

    /// Takes what the store holds of crashes that a host knew.
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

    /// Has the store hold what must outlast the memory of all hosts. Hosts that follow this one leave it to it.
    fn record_evidence(&mut self, now: Instant) {
        // Until the record of an earlier life of this host was read, another one would replace it unread.
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

    /// What to ask the host at `of`.
    pub(super) fn question(&self, of: SocketAddr, topic: Topic) -> UpdateRequest {
        let now = self.clock.now();
        let mut asked = match topic {
            Topic::All => self.known.update_request(feed::MAX_WAIT),
            Topic::Crashes => UpdateRequest {
                only_crashes: true,
                wait: cross_domain::MAX_WAIT,
                ..UpdateRequest::default()
            },
        };
        let crashes = self.crashes.question(of, now);
        if crashes.end < self.crashes.end() {
            asked.wait = Duration::ZERO;
        }
        asked.crashes = Some(crashes);
        asked
    }

    /// What this host knows and the one that asks doesn't.
    pub(super) fn answer(&mut self, asked: &UpdateRequest) -> StateUpdate {
        let now = self.clock.now();
        let news = match asked.only_crashes {
            true => StateUpdate::default(),
            false => self.known.update_for(asked, self.contact.age(now), now),
        };
        let crashes = asked.crashes.as_ref().map(|question| self.crashes.answer(question, now));
        let (steps, asks_store) = (self.contact.steps(now), *self.direct.borrow());
        StateUpdate { steps, asks_store, crashes, ..news }
    }

    /// Takes what the host at `of` knew of servers that ended.
    pub(super) fn on_peer_crashes(&mut self, of: SocketAddr, answer: exchange::Answer) {
        let now = self.clock.now();
        self.crashes.on_answer(of, answer, now);
    }

    /// Makes new facts act, here and at the hosts that follow this one.
    pub(super) fn publish_crashes(&mut self) {
        let now = self.clock.now();
        self.record_evidence(now);
        let told = self.crash_sync;
        let is_due = told.at.is_none_or(|at| now >= at + PUBLISH_INTERVAL);
        let is_new = told.end != self.crashes.end();
        if !is_due || !(is_new || self.expire_crashes(now)) {
            return;
        }
        self.crash_sync.at = Some(now);
        self.crash_sync.end = self.crashes.end();
        let suspects = self.crashes.suspects();
        let refused = suspects.iter().filter(|(_, suspect)| suspect.is_quarantined());
        self.counters.on_suspects(suspects.iter().count(), refused.count());
        self.known.set_suspects(suspects);
        self.publish();
        self.to_tell.send_if_modified(|known| {
            let to_tell = self.crashes.push_end();
            std::mem::replace(known, to_tell) != to_tell
        });
    }

    fn expire_crashes(&mut self, now: Instant) -> bool {
        if self.crash_sync.forgot.is_some_and(|at| now < at + EXPIRE_INTERVAL) {
            return false;
        }
        self.crash_sync.forgot = Some(now);
        self.crashes.expire(now)
    }
}

/// Writes the newest evidence of a host to the store.
pub(super) struct Recorder {
    pub(super) lane: Lane,
    pub(super) to: Partition,
    pub(super) key: String,
    pub(super) evidence: watch::Receiver<Bytes>,
}

impl Recorder {
    /// Writes each change until the store has taken it, or a newer one.
    pub(super) async fn run(mut self) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        // An error is the end of the process.
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

/// What other hosts and the store have of the facts, and since when.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct SyncState {
    at: Option<Instant>,
    end: LogPosition,
    /// When this host last had something to record.
    recorded: Option<Instant>,
    /// When it was last looked for what has stood for long enough.
    forgot: Option<Instant>,
}

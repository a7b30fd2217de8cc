//! Servers that ended, and the requests that they were running: taken from this host's own sends and from other hosts, told to others.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use jacinthbeam_crash::{
    Evidence, Fact, Fingerprint, What, cases::Position, evidence::Change, exchange, fingerprint,
};
use jacinthbeam_store::{Backoff, Call, Item, Lane, Partition};
use tokio::task::spawn_local;

use super::{across, ask::Topic, feed, state::Control};
use crate::process::peers::news::{Asked, News};

/// Least pause between two times that other hosts are told of facts. When a failure domain loses power hundreds of them come
/// within a second, and each telling is an answer to every host that follows this one.
const TELL_EVERY: Duration = Duration::from_millis(50);

/// Keys of the list of hosts that begin so hold evidence against a request. No host is named so.
pub(super) const EVIDENCE_PREFIX: &str = "crashes/";

/// Pauses after a record of evidence that was not kept, and tries until it is given up.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
const TRIES: usize = 20;

/// Pause between two looks for what has stood for long enough.
const FORGET_EVERY: Duration = Duration::from_secs(1);

impl Control {
    /// Takes what this host's own sends have shown.
    pub(super) fn on_crash(&mut self, fact: Fact) {
        let what = match &fact.what {
            What::Ended { server, .. } => Some(server),
            What::Served { .. } | What::LetThrough => None,
        };
        tracing::info!(part = "crash", event = "seen", request = %fact.request, ended = what.map(tracing::field::display));
        let now = self.clock.now();
        self.crashes.see(fact, now);
    }

    /// Takes what the store holds of a request that crashes servers.
    pub(super) fn on_evidence(&mut self, request: &str, item: &Item) {
        let Ok(request) = request.parse::<Fingerprint>() else {
            return self.note_unreadable("evidence", item, &fingerprint::ParseError.to_string());
        };
        if item.value.is_empty() {
            return;
        }
        let (now, time_of_day) = (self.clock.now(), SystemTime::now());
        match Evidence::from_bytes(&item.value) {
            Ok(evidence) => {
                if self.crashes.take_recorded(request, evidence, now, time_of_day) {
                    tracing::info!(part = "crash", event = "read-back", request = %request);
                }
            }
            Err(err) => self.note_unreadable("evidence", item, &err.to_string()),
        }
    }

    /// Writes to the store what has to outlast the memory of all hosts.
    fn record_evidence(&mut self) {
        for Change { request, crashes } in self.crashes.take_changes() {
            tracing::info!(part = "crash", event = "record", request = %request, crashes = ?crashes.as_ref().map(Vec::len));
            let written = SystemTime::now();
            let evidence = crashes.map(|crashes| Evidence { written, crashes }.to_bytes());
            let call = Call::Put {
                to: Partition { topic: self.wire.places.hosts.into(), number: 0 },
                key: format!("{EVIDENCE_PREFIX}{request}"),
                value: evidence.unwrap_or_default().into(),
                only_at: None,
            };
            spawn_local(keep(self.store.lane(), call));
        }
    }

    /// What to ask the host at `of`.
    pub(super) fn question(&self, of: SocketAddr, topic: Topic) -> Asked {
        let now = self.clock.now();
        let mut asked = match topic {
            Topic::All => self.known.question(feed::WAIT),
            Topic::Crashes => Asked { only_crashes: true, wait: across::WAIT, ..Asked::default() },
        };
        let crashes = self.crashes.question(of, now);
        if crashes.end < self.crashes.end() {
            asked.wait = Duration::ZERO;
        }
        asked.crashes = Some(crashes);
        asked
    }

    /// What this host knows and the one that asks doesn't.
    pub(super) fn answer(&mut self, asked: &Asked) -> News {
        let now = self.clock.now();
        let news = match asked.only_crashes {
            true => News::default(),
            false => self.known.news_for(asked, self.heard.age(now), now),
        };
        let crashes = asked.crashes.as_ref().map(|question| self.crashes.answer(question, now));
        let (steps, asks_store) = (self.heard.steps(now), *self.direct.borrow());
        News { steps, asks_store, crashes, ..news }
    }

    /// Takes what the host at `of` knew of servers that ended.
    pub(super) fn on_crashes(&mut self, of: SocketAddr, answer: exchange::Answer) {
        let now = self.clock.now();
        self.crashes.on_answer(of, answer, now);
    }

    /// Makes new facts act, here and at the hosts that follow this one.
    pub(super) fn tell_crashes(&mut self) {
        self.record_evidence();
        let now = self.clock.now();
        let told = self.crashes_told;
        let is_due = told.at.is_none_or(|at| now >= at + TELL_EVERY);
        let is_new = told.end != self.crashes.end();
        if !is_due || !(is_new || self.forget_crashes(now)) {
            return;
        }
        self.crashes_told.at = Some(now);
        self.crashes_told.end = self.crashes.end();
        let suspects = self.crashes.suspects();
        let refused = suspects.iter().filter(|(_, suspect)| suspect.is_proven());
        self.counters.on_suspects(suspects.iter().count(), refused.count());
        self.known.set_suspects(suspects);
        self.publish();
        self.to_tell.send_if_modified(|known| {
            let to_tell = self.crashes.to_tell();
            std::mem::replace(known, to_tell) != to_tell
        });
    }

    fn forget_crashes(&mut self, now: Instant) -> bool {
        if self.crashes_told.forgot.is_some_and(|at| now < at + FORGET_EVERY) {
            return false;
        }
        self.crashes_told.forgot = Some(now);
        self.crashes.forget(now)
    }
}

/// Makes a call until the store has taken it.
async fn keep(lane: Lane, call: Call) {
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    for _ in 0..TRIES {
        match lane.call(&call).await {
            Ok(_) => return,
            Err(err) => tracing::info!(part = "crash", event = "not-recorded", error = %err),
        }
        tokio::time::sleep(backoff.pause()).await;
    }
}

/// How far facts were told, and when.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Told {
    at: Option<Instant>,
    end: Position,
    /// When it was last looked for what has stood for long enough.
    forgot: Option<Instant>,
}

//! Servers that ended, and the requests that they were running: taken from this host's own sends and from other hosts, told to others.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_crash::{Fact, What, cases::Position, exchange};

use super::{across, ask::Topic, feed, state::Control};
use crate::process::peers::news::{Asked, News};

/// Least pause between two times that other hosts are told of facts. When a failure domain loses power hundreds of them come
/// within a second, and each telling is an answer to every host that follows this one.
const TELL_EVERY: Duration = Duration::from_millis(50);

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

/// How far facts were told, and when.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Told {
    at: Option<Instant>,
    end: Position,
    /// When it was last looked for what has stood for long enough.
    forgot: Option<Instant>,
}

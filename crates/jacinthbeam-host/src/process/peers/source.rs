//! Where a host takes the news of the store from: itself, or a host that comes before it in its failure domain. No I/O.
//!
//! Calls to the store are limited and priced over all hosts, refused and unanswered ones too. If each host read for itself whenever it
//! hears nothing, what is asked of the store would grow with the fleet: 295 hosts made 22,000 to 33,000 calls on days on which the store
//! turned a third of them away, was silent for 8 s, or all lost power. So a host turns to the store only when it is its turn, after the
//! first ones in the order of its domain that are there. At most [`MAX_RETRYING_HOSTS`] of a domain ask a store that doesn't answer, however long
//! that lasts.
//!
//! Each answer of a host says how old its news are and over how many hosts they came, so that nobody goes on with old ones or in a ring.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::order::{Neighbour, Neighbours};

/// Age of news above which a host looks for others: a pause between reads, and as much again for a slow answer. What the store
/// acknowledges has two seconds to act everywhere.
pub const MAX_STALENESS: Duration = Duration::from_millis(950);

/// Hosts of a failure domain that ask the store at the same time, at the most, while it gives them no answer. Where it turns away a third of
/// all hosts, one domain in 27 has three such hosts in front; their news come from another domain then.
pub const MAX_RETRYING_HOSTS: usize = 3;

/// Hosts before it that one host asks in turn: those that may try the store, and one more, since one of them may be about to stop.
const ASKED: usize = MAX_RETRYING_HOSTS + 1;

/// Time that a host gives each host before it for reading the store, before it reads the store itself: a new reader is assumed to have
/// its first answer in some 20 ms, and a host with a tenth of a core stands still for 100 ms at a time.
const TURN: Duration = Duration::from_millis(150);

/// First and longest pause before a host is asked again that is there, but has nothing to go on. The first is below [`TURN`], and stays for as
/// long as the hosts before may have their turns, so that a new reader is found before others become readers too. At the longest the first
/// hosts of a domain of 60 get 70 questions a second.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pause before a host is asked again at whose address no process listens: all start within 300 ms of each other.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// First and longest pause before a host is asked again that gave no answer. One that is gone for good stays in the list of hosts, and each
/// question to it takes a quarter of a second in which nothing is heard.
const FIRST_SILENT_PAUSE: Duration = Duration::from_secs(3);
const LONGEST_SILENT_PAUSE: Duration = Duration::from_secs(24);

/// Pause before a host is asked for help again that could give none.
const HELP_AGAIN: Duration = Duration::from_secs(1);

/// Hosts that news pass on their way to a host that others follow, at the most: the reader of another domain and one of its followers.
/// Without a bound news pass from host to host down a domain: the last of 23 heard of a leaving server 1.4 s after the first had.
const MOST_STEPS: u8 = 2;

/// How good the answer of another host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// How long ago it last heard of the store, by itself or through others.
    pub age: Duration,
    /// Hosts that its news have passed before it: 0 if it reads the store itself.
    pub steps: u8,
    /// Whether it asks the store itself, answered or not.
    pub asks_store: bool,
}

impl Answer {
    fn is_fresh(self) -> bool {
        self.age <= MAX_STALENESS
    }

    /// Whether a host may go on with the answers of one before it. One that the store answers gives that up only for another such one: else
    /// two hosts would take their news from each other, one of which is turned away.
    pub fn can_be_followed(self, reads_store: bool) -> bool {
        let most = if reads_store { 0 } else { MOST_STEPS };
        self.is_fresh() && self.steps <= most
    }

    /// Whether it helps a host that others follow.
    pub fn helps(self) -> bool {
        self.is_fresh() && self.steps < MOST_STEPS
    }
}

/// Whether a host asks those that its settings name: it knows no other, since the list of hosts is in a store that turns it away, and has
/// heard of nothing lately.
pub fn should_ask_seeds(known: Option<&Neighbours>, age: Duration) -> bool {
    known.is_none_or(Neighbours::is_empty) && age > MAX_STALENESS
}

/// Why a host gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// No process listens at its address.
    Refused,
    /// Nothing came in time, or something that is no answer.
    Silent,
}

/// What a host does next for news.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Asks a host before it, and goes on with its answers if they are good.
    Ask(Neighbour),
    /// Waits so long, and looks again: it is the turn of others.
    Wait(Duration),
    /// Reads the store.
    ReadStore,
    /// Asks the store whether it answers again, and meanwhile a host that is not before it.
    AskForHelp(SocketAddr),
}

/// What came of the questions to a host since there was last something to go on.
#[derive(Debug, Clone, Copy)]
struct Asked {
    /// When it was first asked.
    since: Instant,
    /// It is not asked again before this.
    again: Instant,
    /// The pause before that.
    pause: Duration,
    /// Whether it counts as away until then.
    away: bool,
}

/// What one host remembers of the others as sources.
#[derive(Debug, Default)]
pub struct SourceSelector {
    asked: BTreeMap<HostId, Asked>,
    /// Hosts before this one that asked the store without success, and until when that counts.
    trying: BTreeMap<HostId, Instant>,
    no_help: BTreeMap<SocketAddr, Instant>,
}

impl SourceSelector {
    /// What to do now. `lost` tells that the store, which this host asks, gives it no answers; `pick` takes one of several.
    pub fn next(
        &mut self,
        now: Instant,
        neighbours: &Neighbours,
        lost: bool,
        pick: impl Fn(&[SocketAddr]) -> Option<SocketAddr>,
    ) -> Action {
        self.trying.retain(|_, until| now < *until);
        self.no_help.retain(|_, until| now < *until);
        let there = self.there(now, &neighbours.before);
        if let Some(host) = there.iter().find(|(host, _)| self.again(host) <= Some(now)) {
            return Action::Ask((*host).clone());
        }
        let trying = there.iter().filter(|(host, _)| self.trying.contains_key(host)).count();
        let turn = self.turn(&there).filter(|turn| now < *turn);
        if trying >= MAX_RETRYING_HOSTS || turn.is_some() {
            let again = there.iter().filter_map(|(host, _)| self.again(host)).min();
            let until = again.into_iter().chain(turn).min().unwrap_or(now);
            return Action::Wait(until.saturating_duration_since(now));
        }
        let help = if lost { pick(&self.helpers(neighbours)) } else { None };
        help.map_or(Action::ReadStore, Action::AskForHelp)
    }

    /// The first hosts of those before this one, without those that are away.
    fn there<'a>(&self, now: Instant, before: &'a [Neighbour]) -> Vec<&'a Neighbour> {
        let is_away = |host: &HostId| {
            self.asked.get(host).is_some_and(|asked| asked.away && now < asked.again)
        };
        before.iter().filter(|(host, _)| !is_away(host)).take(ASKED).collect()
    }

    /// When a host may be asked next; `None`, which is before any time, if it was not asked yet.
    fn again(&self, host: &HostId) -> Option<Instant> {
        self.asked.get(host).map(|asked| asked.again)
    }

    /// When each of the hosts before this one has had its time to read the store; `None` if there is none.
    fn turn(&self, there: &[&Neighbour]) -> Option<Instant> {
        let since = there.iter().filter_map(|(host, _)| Some(self.asked.get(host)?.since));
        (1..).zip(since).map(|(place, since)| since + TURN * place).max()
    }

    /// Hosts that are asked while the store turns this one away: of its own domain first, since what others say crosses its border.
    fn helpers(&self, neighbours: &Neighbours) -> Vec<SocketAddr> {
        let is_open = |addr: &SocketAddr| !self.no_help.contains_key(addr);
        let near = neighbours.after.iter().take(MAX_RETRYING_HOSTS).map(|(_, addr)| *addr);
        let near: Vec<_> = near.filter(is_open).collect();
        if !near.is_empty() {
            return near;
        }
        neighbours.far.values().flatten().map(|(_, addr)| *addr).filter(is_open).collect()
    }

    /// A host before this one has answered. Returns whether this one goes on with it. `reads_store` tells whether the store answers this one.
    pub fn on_answer(
        &mut self,
        host: &HostId,
        answer: Answer,
        reads_store: bool,
        now: Instant,
    ) -> bool {
        if answer.can_be_followed(reads_store) {
            self.asked.remove(host);
            self.trying.remove(host);
            return true;
        }
        if answer.asks_store {
            self.trying.insert(host.clone(), now + 2 * LONGEST_PAUSE);
        }
        let known = self.asked.get(host).filter(|asked| !asked.away);
        let since = known.map_or(now, |asked| asked.since);
        let may_become_reader = now < since + TURN * (ASKED as u32 + 1);
        let pause = match known {
            Some(asked) if !may_become_reader => (asked.pause * 2).min(LONGEST_PAUSE),
            _ => FIRST_PAUSE,
        };
        self.asked.insert(host.clone(), Asked { since, again: now + pause, pause, away: false });
        false
    }

    /// A host before this one gave no answer.
    pub fn on_no_answer(&mut self, host: &HostId, why: NoAnswer, now: Instant) {
        self.trying.remove(host);
        let known = self.asked.get(host);
        let since = known.map_or(now, |asked| asked.since);
        let was_away = known.filter(|asked| asked.away);
        let (pause, away) = match (why, known) {
            // It may be about to start. If it still doesn't listen at the next question, the hosts behind it have their turn.
            (NoAnswer::Refused, None) => (REFUSED_PAUSE, false),
            _ => match was_away {
                Some(asked) => ((asked.pause * 2).min(LONGEST_SILENT_PAUSE), true),
                None => (FIRST_SILENT_PAUSE, true),
            },
        };
        self.asked.insert(host.clone(), Asked { since, again: now + pause, pause, away });
    }

    /// A host that was asked for help could give none.
    pub fn on_no_help(&mut self, addr: SocketAddr, now: Instant) {
        self.no_help.insert(addr, now + HELP_AGAIN);
    }

    /// There is nothing to go on any more: what was found of others before is old, but for those that are away.
    pub fn on_lost(&mut self) {
        self.asked.retain(|_, asked| asked.away);
        self.trying.clear();
    }
}

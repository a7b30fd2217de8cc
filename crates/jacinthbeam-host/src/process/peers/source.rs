//! Selects the source of a host's data: the store itself, or a host that precedes it in the order of its failure domain. No I/O.
//!
//! Calls to the store are limited and priced over all hosts, including refused and unanswered ones. If every host read the store whenever it
//! had no fresh data, the calls would grow with the fleet: 295 hosts made 22,000 to 33,000 calls when the store refused a third of them, was
//! unresponsive for 8 s, or all hosts lost power. A host therefore reads the store only after the first reachable hosts of its domain's order
//! have had time to do so. At most [`MAX_RETRYING_HOSTS`] hosts of a domain call a store that doesn't answer, however long that lasts.
//!
//! Each answer carries its age and the number of hosts that the data has passed, so that hosts follow neither stale data nor each other in
//! a ring.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use super::order::{Neighbour, Neighbours};

/// Age of data above which a host looks for another source: the pause between reads, and about as much again for a slow answer. A change
/// that the store has acknowledged must act everywhere within two seconds.
pub const MAX_STALENESS: Duration = Duration::from_millis(950);

/// Largest number of hosts of a failure domain that call a store that doesn't answer them. If the store refuses a third of all hosts, one domain
/// in 27 has three refused hosts at the front of its order; its data then comes from another domain.
pub const MAX_RETRYING_HOSTS: usize = 3;

/// Number of preceding hosts that a host polls in turn: those that may call the store, and one more, since one of them may be stopping.
pub const POLLED_HOSTS: usize = MAX_RETRYING_HOSTS + 1;

/// Time that a host leaves each preceding host for becoming a reader, before it reads the store itself. A new reader is assumed to get its
/// first answer in some 20 ms, and a host with a tenth of a core is throttled for 100 ms at a time.
const READER_TURN: Duration = Duration::from_millis(150);

/// Bounds of the backoff for polling a reachable host that has no usable data. The initial pause is below [`READER_TURN`] and stays in use
/// while preceding hosts may still become readers, so that a new reader is found before others become readers too. At the longest pause the
/// first hosts of a domain of 60 get 70 requests a second.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Pause after a refused connection: all hosts of a fleet start within 300 ms of each other.
const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// Bounds of the backoff for polling a host that doesn't answer. A removed host stays in the list of hosts, and each request to it costs a
/// quarter of a second without data.
const INITIAL_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(3);
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(24);

/// Pause before asking a host for help again that had no fresher data.
const FALLBACK_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Largest number of hosts that data may have passed before the host that is followed: the reader of another domain and one of its followers.
/// Without a bound, data passes from host to host down a domain: the last of 23 hosts learned of a leaving server 1.4 s after the first.
const MAX_STEPS: u8 = 2;

/// How fresh another host's answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Age of its data: how long ago the store confirmed it, to that host or through others.
    pub age: Duration,
    /// Number of hosts that its data has passed: 0 if it reads the store itself.
    pub steps: u8,
    /// Whether it calls the store itself, answered or not.
    pub asks_store: bool,
}

impl Answer {
    fn is_fresh(self) -> bool {
        self.age <= MAX_STALENESS
    }

    /// Whether a host may follow a preceding one that answered so. A host that the store answers follows only another such host; otherwise it
    /// and a host that the store refuses could follow each other.
    pub fn can_be_followed(self, reads_store: bool) -> bool {
        let max_steps = if reads_store { 0 } else { MAX_STEPS };
        self.is_fresh() && self.steps <= max_steps
    }

    /// Whether the data is of use to a host that others follow.
    pub fn is_usable_fallback(self) -> bool {
        self.is_fresh() && self.steps < MAX_STEPS
    }
}

/// Whether a host should poll the seed hosts in its settings: it knows no other host, since the store that holds the list of hosts refuses it,
/// and its data is stale.
pub fn should_poll_seeds(known: Option<&Neighbours>, age: Duration) -> bool {
    known.is_none_or(Neighbours::is_empty) && age > MAX_STALENESS
}

/// Why a request to a host failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// No process listens at its address.
    Refused,
    /// There was no answer in time, or an invalid one.
    Silent,
}

/// What a host does next to get data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Poll a preceding host, and follow it if its answers are fresh.
    Ask(Neighbour),
    /// Wait this long and call [`SourceSelector::next`] again: other hosts come first.
    Wait(Duration),
    /// Read the store.
    ReadStore,
    /// Keep calling the store, and meanwhile poll this host, which doesn't precede it.
    PollFallback(SocketAddr),
}

/// Result of polling a host that isn't followed.
#[derive(Debug, Clone, Copy)]
struct PollResult {
    /// When it was first polled.
    first_polled: Instant,
    /// It is not polled again before this time.
    next_poll: Instant,
    /// The backoff that ends then.
    backoff: Duration,
    /// Whether it counts as unreachable until then.
    unreachable: bool,
}

/// Selects sources by the results of earlier polls.
#[derive(Debug, Default)]
pub struct SourceSelector {
    polled: BTreeMap<HostId, PollResult>,
    /// Preceding hosts that call a store that doesn't answer them, and until when that counts.
    retrying: BTreeMap<HostId, Instant>,
    fallback_retry_at: BTreeMap<SocketAddr, Instant>,
}

impl SourceSelector {
    /// What to do now. `store_unanswered` is true if this host calls the store without getting answers; `pick` chooses one of several addresses.
    pub fn next(
        &mut self,
        now: Instant,
        neighbours: &Neighbours,
        store_unanswered: bool,
        pick: impl Fn(&[SocketAddr]) -> Option<SocketAddr>,
    ) -> Action {
        self.retrying.retain(|_, until| now < *until);
        self.fallback_retry_at.retain(|_, until| now < *until);
        let reachable = self.reachable(now, &neighbours.before);
        if let Some(host) = reachable.iter().find(|(host, _)| self.next_poll(host) <= Some(now)) {
            return Action::Ask((*host).clone());
        }
        let retrying =
            reachable.iter().filter(|(host, _)| self.retrying.contains_key(host)).count();
        let turn = self.turn(&reachable).filter(|turn| now < *turn);
        if retrying >= MAX_RETRYING_HOSTS || turn.is_some() {
            let next_poll = reachable.iter().filter_map(|(host, _)| self.next_poll(host)).min();
            let until = next_poll.into_iter().chain(turn).min().unwrap_or(now);
            return Action::Wait(until.saturating_duration_since(now));
        }
        let help = if store_unanswered { pick(&self.fallback_hosts(neighbours)) } else { None };
        help.map_or(Action::ReadStore, Action::PollFallback)
    }

    /// The first preceding hosts that are not known to be unreachable.
    fn reachable<'a>(&self, now: Instant, before: &'a [Neighbour]) -> Vec<&'a Neighbour> {
        let is_unreachable = |host: &HostId| {
            self.polled.get(host).is_some_and(|polled| polled.unreachable && now < polled.next_poll)
        };
        before.iter().filter(|(host, _)| !is_unreachable(host)).take(POLLED_HOSTS).collect()
    }

    /// When a host may be polled next; `None`, which compares as earlier than any time, if it was not polled yet.
    fn next_poll(&self, host: &HostId) -> Option<Instant> {
        self.polled.get(host).map(|polled| polled.next_poll)
    }

    /// When every preceding host has had its time to become a reader; `None` if there is none.
    fn turn(&self, reachable: &[&Neighbour]) -> Option<Instant> {
        let first_polled =
            reachable.iter().filter_map(|(host, _)| Some(self.polled.get(host)?.first_polled));
        (1..)
            .zip(first_polled)
            .map(|(place, first_polled)| first_polled + READER_TURN * place)
            .max()
    }

    /// Hosts to poll while the store doesn't answer this one: those of its own domain first, to avoid traffic between domains.
    fn fallback_hosts(&self, neighbours: &Neighbours) -> Vec<SocketAddr> {
        let is_open = |addr: &SocketAddr| !self.fallback_retry_at.contains_key(addr);
        let near = neighbours.after.iter().take(MAX_RETRYING_HOSTS).map(|(_, addr)| *addr);
        let near: Vec<_> = near.filter(is_open).collect();
        if !near.is_empty() {
            return near;
        }
        neighbours.far.values().flatten().map(|(_, addr)| *addr).filter(is_open).collect()
    }

    /// A preceding host has answered. Returns whether this host follows it. `reads_store` is true if the store answers this host.
    pub fn on_answer(
        &mut self,
        host: &HostId,
        answer: Answer,
        reads_store: bool,
        now: Instant,
    ) -> bool {
        if answer.can_be_followed(reads_store) {
            self.polled.remove(host);
            self.retrying.remove(host);
            return true;
        }
        if answer.asks_store {
            self.retrying.insert(host.clone(), now + 2 * MAX_BACKOFF);
        }
        let known = self.polled.get(host).filter(|polled| !polled.unreachable);
        let first_polled = known.map_or(now, |polled| polled.first_polled);
        let may_become_reader = now < first_polled + READER_TURN * (POLLED_HOSTS as u32 + 1);
        let backoff = match known {
            Some(polled) if !may_become_reader => (polled.backoff * 2).min(MAX_BACKOFF),
            _ => INITIAL_BACKOFF,
        };
        self.polled.insert(
            host.clone(),
            PollResult { first_polled, next_poll: now + backoff, backoff, unreachable: false },
        );
        false
    }

    /// A request to a preceding host failed.
    pub fn on_no_answer(&mut self, host: &HostId, why: NoAnswer, now: Instant) {
        self.retrying.remove(host);
        let known = self.polled.get(host);
        let first_polled = known.map_or(now, |polled| polled.first_polled);
        let was_unreachable = known.filter(|polled| polled.unreachable);
        let (backoff, unreachable) = match (why, known) {
            // It may be starting. If the next connection is refused too, the next host in the order takes its place.
            (NoAnswer::Refused, None) => (REFUSED_PAUSE, false),
            _ => match was_unreachable {
                Some(polled) => ((polled.backoff * 2).min(MAX_UNREACHABLE_BACKOFF), true),
                None => (INITIAL_UNREACHABLE_BACKOFF, true),
            },
        };
        self.polled.insert(
            host.clone(),
            PollResult { first_polled, next_poll: now + backoff, backoff, unreachable },
        );
    }

    /// A host that was polled for help had no fresher data.
    pub fn on_unusable_fallback(&mut self, addr: SocketAddr, now: Instant) {
        self.fallback_retry_at.insert(addr, now + FALLBACK_RETRY_PAUSE);
    }

    /// The followed host was lost. Earlier results of polling other hosts are outdated, except for unreachable ones.
    pub fn on_source_lost(&mut self) {
        self.polled.retain(|_, polled| polled.unreachable);
        self.retrying.clear();
    }
}

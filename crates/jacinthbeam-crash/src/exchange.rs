//! Passing facts between hosts: what one has told another, and what it has been told.
//!
//! A host that asks another for news tells it, with the question, what that one hasn't heard from it yet, and gets with the answer what
//! it hasn't heard. Both count by the position in the list of who tells, within one life of that host's process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Instant, SystemTime},
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    cases::{AgedFact, Cases, Fact, LogPosition, Source},
    evidence::{Evidence, MAX_FACTS_PER_RECORD},
    suspects::Suspects,
};

/// Facts of one message, of up to some 70 bytes each.
pub const MAX_FACTS_PER_MESSAGE: usize = 256;

/// Hosts that are remembered as told and heard; a host asks a few of its own failure domain and one of each other.
const MAX_PEERS: usize = 128;

/// How far one host's list is known: a life of its process, and a position in the list that it keeps.
pub type Cursor = (Incarnation, LogPosition);

/// What the asking host tells with its question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The asking host.
    pub from: HostId,
    /// How far it knows the list of the host that it asks.
    pub knows: Option<Cursor>,
    /// What that host has not heard from it.
    pub facts: Vec<AgedFact>,
    /// The position after them in its own list.
    pub end: LogPosition,
}

/// What the answering host tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The answering host.
    pub from: HostId,
    /// The life of its process.
    pub life: Incarnation,
    /// What the asking host has not heard from it.
    pub facts: Vec<AgedFact>,
    /// The position after them in its own list.
    pub end: LogPosition,
    /// The position that the question ended at: everything before it was taken.
    pub taken: LogPosition,
}

/// What is known of another host that this one asks.
#[derive(Debug, Default)]
struct Peer {
    host: Option<HostId>,
    /// How far its list is known here.
    received: Option<Cursor>,
    /// How far it knows the list of this host, in which life of its own.
    sent: Option<Cursor>,
}

/// All facts of one host, and how far it has exchanged them with others.
#[derive(Debug)]
pub struct Exchange {
    host: HostId,
    incarnation: Incarnation,
    cases: Cases,
    /// The position after the last fact that was not the answer to a question of this host.
    push_end: LogPosition,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Whether facts have come, other than in answers to this host, that its record in the store does not hold.
    is_record_due: bool,
}

impl Exchange {
    /// A host that knows of nothing, in one life of its process.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            cases: Cases::default(),
            push_end: LogPosition::default(),
            peers: BTreeMap::new(),
            is_record_due: false,
        }
    }

    /// The position of the next fact.
    pub fn end(&self) -> LogPosition {
        self.cases.end()
    }

    /// The position up to which the hosts that this one asks should be told, without waiting for the next question.
    pub fn push_end(&self) -> LogPosition {
        self.push_end
    }

    /// Takes a fact that was seen here. Returns whether it adds anything.
    pub fn observe(&mut self, fact: Fact, now: Instant) -> bool {
        let is_new = self.cases.merge(fact, Source::Observed, now);
        self.is_record_due |= is_new;
        self.advance_push_end(is_new);
        is_new
    }

    /// Takes the record of a host that the store holds. Returns whether it adds anything.
    pub fn merge_record(
        &mut self,
        evidence: Evidence,
        now: Instant,
        time_of_day: SystemTime,
    ) -> bool {
        let facts = evidence.facts(now, time_of_day);
        let is_new = self.cases.merge_all(facts, &Source::Store, now);
        self.advance_push_end(is_new);
        is_new
    }

    /// What the store has to hold as the record of this host, if that has changed.
    ///
    /// Facts that came in answers are left to the hosts that gave them: each is recorded once for each failure domain that saw it.
    pub fn take_due_record(&mut self, now: Instant, time_of_day: SystemTime) -> Option<Evidence> {
        if !std::mem::take(&mut self.is_record_due) {
            return None;
        }
        let facts = with_ages(self.cases.strongest_facts(MAX_FACTS_PER_RECORD), now);
        Some(Evidence { written: time_of_day, facts })
    }

    /// What to tell the host at `to` with a question.
    pub fn question(&self, to: SocketAddr, now: Instant) -> Question {
        let peer = self.peers.get(&to);
        let sent = peer.and_then(|peer| peer.sent).map_or(LogPosition::default(), |(_, end)| end);
        let host = peer.and_then(|peer| peer.host.as_ref());
        let (facts, end) = self.cases.since(sent, host, MAX_FACTS_PER_MESSAGE);
        let knows = peer.and_then(|peer| peer.received);
        Question { from: self.host.clone(), knows, facts: with_ages(facts, now), end }
    }

    /// Takes the facts of a question, and tells what the asking host hasn't heard.
    pub fn answer(&mut self, question: &Question, now: Instant) -> Answer {
        let is_new = self.merge_from_peer(question.facts.clone(), &question.from, now);
        self.is_record_due |= is_new;
        self.advance_push_end(is_new);
        let known = question.knows.filter(|(incarnation, _)| *incarnation == self.incarnation);
        let known = known.map_or(LogPosition::default(), |(_, end)| end);
        let (facts, end) = self.cases.since(known, Some(&question.from), MAX_FACTS_PER_MESSAGE);
        let facts = with_ages(facts, now);
        Answer { from: self.host.clone(), life: self.incarnation, facts, end, taken: question.end }
    }

    /// Takes the answer of the host at `of`.
    pub fn on_answer(&mut self, of: SocketAddr, answer: Answer, now: Instant) {
        self.merge_from_peer(answer.facts, &answer.from, now);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&of) {
            self.peers.clear();
        }
        let peer = self.peers.entry(of).or_default();
        // A process that has started again has forgotten what its earlier life was told before this question.
        let is_same = peer.sent.is_none_or(|(incarnation, _)| incarnation == answer.life);
        peer.sent = is_same.then_some((answer.life, answer.taken));
        peer.received = Some((answer.life, answer.end));
        peer.host = Some(answer.from);
    }

    fn merge_from_peer(&mut self, facts: Vec<AgedFact>, from: &HostId, now: Instant) -> bool {
        // Older than this clock reaches is older than anything that is kept.
        let facts = facts.into_iter().filter_map(|fact| fact.at(now));
        self.cases.merge_all(facts, &Source::Peer(from.clone()), now)
    }

    fn advance_push_end(&mut self, is_new: bool) {
        if is_new {
            self.push_end = self.cases.end();
        }
    }

    /// Forgets what has stood for long enough. Returns whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.cases.expire(now)
    }

    /// The requests that are in doubt or refused.
    pub fn suspects(&self) -> Suspects {
        self.cases.suspects()
    }
}

fn with_ages(facts: Vec<Fact>, now: Instant) -> Vec<AgedFact> {
    facts.into_iter().map(|fact| fact.aged(now)).collect()
}

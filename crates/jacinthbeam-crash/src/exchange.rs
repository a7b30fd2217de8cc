//! Exchange of facts between hosts.
//!
//! A host that polls another sends, with its question, the facts that the other host has not
//! received from it yet, and the answer returns the facts that it lacks itself. Each side counts by
//! positions in the sender's log, which are valid for one incarnation of the sender's process.

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

/// Maximum number of facts in one message. Each takes up to about 70 bytes.
pub const MAX_FACTS_PER_MESSAGE: usize = 256;

/// Maximum number of peers whose progress is stored. A host polls a few hosts of its own failure
/// domain and one of each other.
const MAX_PEERS: usize = 128;

/// How far a host's log is known: the incarnation of its process, and a position in its log.
pub type Cursor = (Incarnation, LogPosition);

/// What the polling host sends with its question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The polling host.
    pub from: HostId,
    /// How far it knows the log of the polled host.
    pub knows: Option<Cursor>,
    /// Facts that the polled host has not received from it.
    pub facts: Vec<AgedFact>,
    /// The position after them in its own log.
    pub end: LogPosition,
}

/// What the polled host replies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The polled host.
    pub from: HostId,
    /// The incarnation of its process.
    pub life: Incarnation,
    /// Facts that the polling host has not received from it.
    pub facts: Vec<AgedFact>,
    /// The position after them in its own log.
    pub end: LogPosition,
    /// The question's `end`: all facts before this position were merged.
    pub taken: LogPosition,
}

/// Progress of the exchange with another host that this one polls.
#[derive(Debug, Default)]
struct Peer {
    host: Option<HostId>,
    /// How far this host has received the peer's log.
    received: Option<Cursor>,
    /// The incarnation of the peer, and the position in this host's log up to which it has merged.
    sent: Option<Cursor>,
}

/// All facts of one host, and how far it has exchanged them with others.
#[derive(Debug)]
pub struct Exchange {
    host: HostId,
    incarnation: Incarnation,
    cases: Cases,
    /// The position after the last fact that was not received in an answer to one of this host's
    /// own questions.
    push_end: LogPosition,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Whether the host's record in the store lacks facts that this host observed, or received with
    /// a question.
    is_record_due: bool,
}

impl Exchange {
    /// Starts without facts, for one incarnation of the process of `host`.
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

    /// The log position of the next fact.
    pub fn end(&self) -> LogPosition {
        self.cases.end()
    }

    /// Facts before this position should be pushed to the polled hosts immediately, without waiting
    /// for the next regular question.
    pub fn push_end(&self) -> LogPosition {
        self.push_end
    }

    /// Merges a fact that this host observed. Returns whether it was new.
    pub fn observe(&mut self, fact: Fact, now: Instant) -> bool {
        let is_new = self.cases.merge(fact, Source::Observed, now);
        self.is_record_due |= is_new;
        self.advance_push_end(is_new);
        is_new
    }

    /// Merges the record of a host that was read from the store. Returns whether any of its facts
    /// was new.
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

    /// The record of this host to write to the store, if it has changed since the last call.
    ///
    /// Facts from answers do not make a record due, because the host that answered records them: a
    /// fact is recorded once for each failure domain that observed it.
    pub fn take_due_record(&mut self, now: Instant, time_of_day: SystemTime) -> Option<Evidence> {
        if !std::mem::take(&mut self.is_record_due) {
            return None;
        }
        let facts = with_ages(self.cases.strongest_facts(MAX_FACTS_PER_RECORD), now);
        Some(Evidence { written: time_of_day, facts })
    }

    /// The question to the host at `to`, with the facts that it lacks.
    pub fn question(&self, to: SocketAddr, now: Instant) -> Question {
        let peer = self.peers.get(&to);
        let sent = peer.and_then(|peer| peer.sent).map_or(LogPosition::default(), |(_, end)| end);
        let host = peer.and_then(|peer| peer.host.as_ref());
        let (facts, end) = self.cases.since(sent, host, MAX_FACTS_PER_MESSAGE);
        let knows = peer.and_then(|peer| peer.received);
        Question { from: self.host.clone(), knows, facts: with_ages(facts, now), end }
    }

    /// Merges the facts of a question, and answers with those that the polling host lacks.
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

    /// Merges the answer of the host at `of`.
    pub fn on_answer(&mut self, of: SocketAddr, answer: Answer, now: Instant) {
        self.merge_from_peer(answer.facts, &answer.from, now);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&of) {
            self.peers.clear();
        }
        let peer = self.peers.entry(of).or_default();
        // After a restart the peer lacks what its earlier incarnation received, so everything is
        // sent again.
        let is_same = peer.sent.is_none_or(|(incarnation, _)| incarnation == answer.life);
        peer.sent = is_same.then_some((answer.life, answer.taken));
        peer.received = Some((answer.life, answer.end));
        peer.host = Some(answer.from);
    }

    fn merge_from_peer(&mut self, facts: Vec<AgedFact>, from: &HostId, now: Instant) -> bool {
        // A fact from before this clock's range is older than anything that is kept.
        let facts = facts.into_iter().filter_map(|fact| fact.at(now));
        self.cases.merge_all(facts, &Source::Peer(from.clone()), now)
    }

    fn advance_push_end(&mut self, is_new: bool) {
        if is_new {
            self.push_end = self.cases.end();
        }
    }

    /// Removes expired requests. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.cases.expire(now)
    }

    /// The requests under which servers crashed since they were last cleared.
    pub fn suspects(&self) -> Suspects {
        self.cases.suspects()
    }
}

fn with_ages(facts: Vec<Fact>, now: Instant) -> Vec<AgedFact> {
    facts.into_iter().map(|fact| fact.aged(now)).collect()
}

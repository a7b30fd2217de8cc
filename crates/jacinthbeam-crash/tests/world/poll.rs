//! Polls between hosts: questions and answers in flight.

use jacinthbeam_crash::exchange::{Answer, Question};

use super::{World, addr};

/// How long a polled host waits for new facts before it sends an empty answer, within a failure
/// domain and across domains, in milliseconds.
const WAIT_WITHIN_DOMAIN_MS: u64 = 700;
const WAIT_ACROSS_DOMAINS_MS: u64 = 2000;

/// Time after that wait until a poll counts as lost, and from then to the next poll, in
/// milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 300;
const RETRY_DELAY_MS: u64 = 300;

/// A poll in flight: its question, or its answer.
pub(super) struct Poll {
    question: Question,
    sent_at: u64,
    /// When the question arrives; `None` if it is lost, or after it is answered.
    arrives_at: Option<u64>,
    answer_due_at: u64,
    /// The answer and when it arrives.
    answer: Option<(u64, Answer)>,
    lost_at: u64,
    /// Incarnation of the polled host when the question was sent.
    to_incarnation: u64,
}

impl World {
    /// The first connected host before this one in its failure domain.
    pub(super) fn first_before(&self, n: usize) -> Option<usize> {
        let before = (n % self.domains..n).step_by(self.domains);
        before.into_iter().find(|other| self.is_connected(n, *other))
    }

    /// The hosts that a host polls.
    fn polled(&self, n: usize) -> Vec<usize> {
        let domains = self.domains;
        match self.first_before(n) {
            Some(first) => vec![first],
            None => {
                let far = (0..domains).filter(|domain| *domain != n % domains);
                far.filter_map(|d| (d..self.hosts.len()).step_by(domains).next()).collect()
            }
        }
    }

    pub(super) fn poll(&mut self, n: usize) {
        for to in self.polled(n) {
            match self.hosts[n].polls.remove(&to) {
                Some(poll) => self.advance_poll(n, to, poll),
                None => self.start_poll(n, to),
            }
        }
    }

    fn start_poll(&mut self, n: usize, to: usize) {
        let at = self.instant();
        let wait = if self.domain(n) == self.domain(to) {
            WAIT_WITHIN_DOMAIN_MS
        } else {
            WAIT_ACROSS_DOMAINS_MS
        };
        let question = self.hosts[n].exchange.question(addr(to), at);
        let is_complete = question.end == self.hosts[n].exchange.end();
        let wait = if is_complete { wait } else { 0 };
        let arrives_at = self.arrival(n, to);
        let poll = Poll {
            question,
            sent_at: self.now,
            arrives_at,
            answer_due_at: self.now + wait,
            answer: None,
            lost_at: self.now + wait + ANSWER_TIMEOUT_MS,
            to_incarnation: self.hosts[to].incarnation,
        };
        self.hosts[n].polls.insert(to, poll);
    }

    /// When a message that is sent now arrives; `None` if it is lost.
    fn arrival(&mut self, from: usize, to: usize) -> Option<u64> {
        let arrives_at = self.now + self.rng.u64(1..=self.conditions.max_latency_ms);
        (self.is_connected(from, to) && self.rng.f64() >= self.conditions.message_loss)
            .then_some(arrives_at)
    }

    fn advance_poll(&mut self, n: usize, to: usize, mut poll: Poll) {
        let (now, at) = (self.now, self.instant());
        if let Some((arrives_at, answer)) = poll.answer.take() {
            if now >= arrives_at {
                self.hosts[n].exchange.on_answer(addr(to), answer, at);
                return;
            }
            poll.answer = Some((arrives_at, answer));
        } else if self.is_waiting(to, &poll) {
            let answer = self.hosts[to].exchange.answer(&poll.question, at);
            poll.question.facts.clear();
            if !answer.facts.is_empty() || now >= poll.answer_due_at {
                poll.answer = self.arrival(to, n).map(|arrives_at| (arrives_at, answer));
                poll.arrives_at = None;
            }
        }
        let has_more = self.hosts[n].exchange.push_end() > poll.question.end;
        let is_superseded = has_more
            && poll.answer_due_at > poll.sent_at
            && self.hosts[n].published_end > poll.question.end.0;
        if now >= poll.lost_at + RETRY_DELAY_MS || is_superseded {
            return;
        }
        self.hosts[n].polls.insert(to, poll);
    }

    /// Whether a question has arrived at a host that has not restarted since it was sent.
    fn is_waiting(&self, to: usize, poll: &Poll) -> bool {
        let has_arrived = poll.arrives_at.is_some_and(|arrives_at| self.now >= arrives_at);
        has_arrived && self.is_running(to) && self.hosts[to].incarnation == poll.to_incarnation
    }
}

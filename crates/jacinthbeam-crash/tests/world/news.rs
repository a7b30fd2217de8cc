//! What hosts ask each other.

use jacinthbeam_crash::exchange::{Answer, Question};

use super::{World, addr};

/// Milliseconds that a host waits for news within its domain and across, before it answers without.
const WAIT_NEAR: u64 = 700;
const WAIT_FAR: u64 = 2000;

/// Milliseconds beyond that wait after which a question counts as lost, and until the next one.
const LOST_AFTER: u64 = 300;
const NEXT_IN: u64 = 300;

/// A question on its way, at the other host, or its answer on its way back.
pub(super) struct Ask {
    question: Question,
    at: u64,
    arrives: Option<u64>,
    waits_until: u64,
    answer: Option<(u64, Answer)>,
    gives_up: u64,
    /// Life of the host that it is at.
    to_life: u64,
}

impl World {
    /// The host of its failure domain that a host follows.
    pub(super) fn first_before(&self, n: usize) -> Option<usize> {
        let before = (n % self.domains..n).step_by(self.domains);
        before.into_iter().find(|other| self.reach(n, *other))
    }

    /// Whom a host asks.
    fn asked(&self, n: usize) -> Vec<usize> {
        let domains = self.domains;
        match self.first_before(n) {
            Some(first) => vec![first],
            None => {
                let far = (0..domains).filter(|domain| *domain != n % domains);
                far.filter_map(|d| (d..self.hosts.len()).step_by(domains).next()).collect()
            }
        }
    }

    pub(super) fn ask(&mut self, n: usize) {
        for to in self.asked(n) {
            match self.hosts[n].asks.remove(&to) {
                Some(ask) => self.go_on(n, to, ask),
                None => self.begin(n, to),
            }
        }
    }

    fn begin(&mut self, n: usize, to: usize) {
        let at = self.at();
        let wait = if self.domain(n) == self.domain(to) { WAIT_NEAR } else { WAIT_FAR };
        let question = self.hosts[n].exchange.question(addr(to), at);
        let is_whole = question.end == self.hosts[n].exchange.end();
        let wait = if is_whole { wait } else { 0 };
        let arrives = self.way(n, to);
        let ask = Ask {
            question,
            at: self.now,
            arrives,
            waits_until: self.now + wait,
            answer: None,
            gives_up: self.now + wait + LOST_AFTER,
            to_life: self.hosts[to].life,
        };
        self.hosts[n].asks.insert(to, ask);
    }

    /// When a message arrives that is sent now.
    fn way(&mut self, from: usize, to: usize) -> Option<u64> {
        let arrives = self.now + self.rng.u64(1..=self.odds.latency);
        (self.reach(from, to) && self.rng.f64() >= self.odds.lost).then_some(arrives)
    }

    fn go_on(&mut self, n: usize, to: usize, mut ask: Ask) {
        let (now, at) = (self.now, self.at());
        if let Some((arrives, answer)) = ask.answer.take() {
            if now >= arrives {
                self.hosts[n].exchange.on_answer(addr(to), answer, at);
                return;
            }
            ask.answer = Some((arrives, answer));
        } else if self.is_waiting(to, &ask) {
            let answer = self.hosts[to].exchange.answer(&ask.question, at);
            ask.question.facts.clear();
            if !answer.facts.is_empty() || now >= ask.waits_until {
                ask.answer = self.way(to, n).map(|arrives| (arrives, answer));
                ask.arrives = None;
            }
        }
        let more = self.hosts[n].exchange.push_end() > ask.question.end;
        let asks_anew =
            more && ask.waits_until > ask.at && self.hosts[n].told_end > ask.question.end.0;
        if now >= ask.gives_up + NEXT_IN || asks_anew {
            return;
        }
        self.hosts[n].asks.insert(to, ask);
    }

    /// Whether a question is at a host that runs on since it was asked.
    fn is_waiting(&self, to: usize, ask: &Ask) -> bool {
        let has_come = ask.arrives.is_some_and(|arrives| self.now >= arrives);
        has_come && self.runs(to) && self.hosts[to].life == ask.to_life
    }
}

//! Hosts that go on with the answers of others: following, asking for help, and deciding what is next.

use std::{net::SocketAddr, time::Duration};

use jacinthbeam_host::process::peers::source::{Action, NoAnswer};
use jacinthbeam_types::prelude::*;

use super::{
    ANSWER_WITHIN, CONNECT_WITHIN, FIRST_PORT, Fleet, LISTED_EVERY, LOOK_AGAIN, LOOK_AGAIN_LOST,
    Process, STEP,
};

impl Fleet {
    /// A host that goes on with the answers of another.
    pub(super) fn follow(&mut self, n: usize) {
        let Some(of) = self.hosts[n].follows else { return };
        if self.goes_on(n, of) {
            return;
        }
        let id = self.hosts[of].id.clone();
        let at = self.at();
        let why = match self.hosts[of].process {
            Process::Runs => {
                let answer = self.answer(of);
                self.hosts[n].sources.on_answer(&id, answer, false, at);
                None
            }
            Process::Stopped => Some(NoAnswer::Refused),
            Process::Lost => {
                let now = self.now;
                let since = *self.hosts[n].silent_since.get_or_insert(now);
                if now < since + ANSWER_WITHIN {
                    return;
                }
                Some(NoAnswer::Silent)
            }
        };
        let host = &mut self.hosts[n];
        host.follows = None;
        host.silent_since = None;
        host.sources.on_source_lost();
        if let Some(why) = why {
            host.sources.on_no_answer(&id, why, at);
        }
    }

    /// Takes what the host that `n` follows says, if that is still good.
    fn goes_on(&mut self, n: usize, of: usize) -> bool {
        let good =
            self.hosts[of].process == Process::Runs && self.answer(of).can_be_followed(false);
        if good {
            self.hosts[n].silent_since = None;
            self.hear(n, of);
        }
        good
    }

    fn hear(&mut self, n: usize, of: usize) {
        let told = self.answer(of);
        let at = self.now.saturating_sub(told.age.as_millis().min(u128::from(self.now)) as u64);
        if self.hosts[n].heard.is_none_or(|(known, _)| known < at) && at > 0 {
            self.hosts[n].heard = Some((at, told.steps.saturating_add(1)));
        }
        let known = self.hosts[n].neighbours.as_ref().map(|known| known.before.len());
        let knows_all = known == Some(self.hosts[n].place);
        if !knows_all && self.now.is_multiple_of(LISTED_EVERY) {
            self.learn_hosts(n);
        }
    }

    /// A host that another one helps, while the store gives it no answers.
    pub(super) fn help(&mut self, n: usize) {
        let Some(of) = self.hosts[n].helper else { return };
        let helps = self.hosts[of].process == Process::Runs && self.answer(of).is_usable_fallback();
        if helps && !self.is_answered(n) {
            return self.hear(n, of);
        }
        let (addr, at) = (self.hosts[of].entry.addr, self.at());
        self.hosts[n].helper = None;
        self.hosts[n].wake_at = self.now;
        self.hosts[n].sources.on_unusable_fallback(addr, at);
    }

    pub(super) fn decide(&mut self, n: usize) {
        let (at, now) = (self.at(), self.now);
        let lost = self.hosts[n].direct && !self.is_answered(n);
        let rng = &mut self.rng;
        let cell = std::cell::RefCell::new(rng);
        let pick = |addrs: &[SocketAddr]| cell.borrow_mut().choice(addrs).copied();
        let host = &mut self.hosts[n];
        let neighbours = host.neighbours.clone().expect("it is decided once the hosts are known");
        match host.sources.next(at, &neighbours, lost, pick) {
            Action::Ask((id, addr)) => self.ask(n, &id, addr),
            Action::Wait(pause) => {
                if lost {
                    host.direct = false;
                }
                host.wake_at = now + (pause.as_millis() as u64).max(STEP);
            }
            Action::ReadStore => {
                host.direct = true;
                let answered = self.is_answered(n);
                self.hosts[n].wake_at = now + if answered { LOOK_AGAIN } else { LOOK_AGAIN_LOST };
            }
            Action::PollFallback(addr) => {
                host.direct = true;
                host.wake_at = u64::MAX;
                let of = self.find(addr);
                self.hosts[n].helper = Some(of);
            }
        }
    }

    fn find(&self, addr: SocketAddr) -> usize {
        usize::from(addr.port() - FIRST_PORT)
    }

    fn ask(&mut self, n: usize, id: &HostId, addr: SocketAddr) {
        let (of, at) = (self.find(addr), self.at());
        match self.hosts[of].process {
            Process::Runs => {
                let (answer, reads) = (self.answer(of), self.is_answered(n));
                self.hear(n, of);
                if self.hosts[n].sources.on_answer(id, answer, reads, at) {
                    self.hosts[n].follows = Some(of);
                    self.hosts[n].direct = false;
                    self.hosts[n].has_read = false;
                }
            }
            Process::Stopped => self.hosts[n].sources.on_no_answer(id, NoAnswer::Refused, at),
            Process::Lost => {
                self.hosts[n].wake_at = self.now + CONNECT_WITHIN;
                let after = at + Duration::from_millis(CONNECT_WITHIN);
                self.hosts[n].sources.on_no_answer(id, NoAnswer::Silent, after);
            }
        }
    }
}

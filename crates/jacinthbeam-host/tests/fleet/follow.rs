//! Hosts that get their data from other hosts: following, asking for help, and choosing the next source.

use std::{net::SocketAddr, time::Duration};

use jacinthbeam_host::process::peers::source::{Action, NoAnswer};
use jacinthbeam_types::prelude::*;

use super::{
    CONNECT_TIMEOUT_MS, FIRST_PORT, Fleet, LIST_UPDATE_MS, Process, RESPONSE_TIMEOUT_MS,
    SOURCE_CHECK_LOST_MS, SOURCE_CHECK_MS, STEP_MS,
};

impl Fleet {
    /// Lets host `n` receive from the host that it follows, or stop following it.
    pub(super) fn follow(&mut self, n: usize) {
        let Some(peer) = self.hosts[n].follows else { return };
        if self.keeps_following(n, peer) {
            return;
        }
        let id = self.hosts[peer].id.clone();
        let at = self.at();
        let why = match self.hosts[peer].process {
            Process::Runs => {
                let answer = self.answer(peer);
                self.hosts[n].sources.on_answer(&id, answer, false, at);
                None
            }
            Process::Stopped => Some(NoAnswer::Refused),
            Process::Lost => {
                let now = self.now;
                let since = *self.hosts[n].unresponsive_since.get_or_insert(now);
                if now < since + RESPONSE_TIMEOUT_MS {
                    return;
                }
                Some(NoAnswer::Silent)
            }
        };
        let host = &mut self.hosts[n];
        host.follows = None;
        host.unresponsive_since = None;
        host.sources.on_source_lost();
        if let Some(why) = why {
            host.sources.on_no_answer(&id, why, at);
        }
    }

    /// Applies the update of the host that `n` follows if it can still be followed, and returns whether it can.
    fn keeps_following(&mut self, n: usize, peer: usize) -> bool {
        let id = &self.hosts[peer].id;
        let precedes =
            self.hosts[n].neighbours.as_ref().is_some_and(|known| known.is_preceded_by(id));
        let can_follow = precedes
            && self.hosts[peer].process == Process::Runs
            && self.answer(peer).can_be_followed(false);
        if can_follow {
            self.hosts[n].unresponsive_since = None;
            self.hosts[n].has_list |= self.hosts[peer].has_list;
            self.enrol(n, peer);
            self.receive(n, peer);
        }
        can_follow
    }

    fn receive(&mut self, n: usize, peer: usize) {
        let update = self.answer(peer);
        let at = self.now.saturating_sub(update.age.as_millis().min(u128::from(self.now)) as u64);
        if self.hosts[n].received.is_none_or(|(previous, _)| previous < at) && at > 0 {
            self.hosts[n].received = Some((at, update.steps.saturating_add(1)));
        }
        let others = self.domains[n % self.domains.len()].len() - 1;
        let has_all = self.hosts[n].neighbours.as_ref().is_some_and(|known| {
            let before = known.before.len();
            before == self.hosts[n].position && before + known.after.len() == others
        });
        if !has_all && self.now.is_multiple_of(LIST_UPDATE_MS) {
            self.update_neighbours(n);
        }
    }

    /// Lets host `n` receive from the host that helps it while the store doesn't respond to `n`.
    pub(super) fn help(&mut self, n: usize) {
        let Some(peer) = self.hosts[n].helper else { return };
        let can_help =
            self.hosts[peer].process == Process::Runs && self.answer(peer).is_usable_fallback();
        if can_help && !self.is_answered(n) {
            return self.receive(n, peer);
        }
        let (addr, at) = (self.hosts[peer].entry.addr, self.at());
        self.hosts[n].helper = None;
        self.hosts[n].wake_at = self.now;
        self.hosts[n].sources.on_unusable_fallback(addr, at);
    }

    pub(super) fn decide(&mut self, n: usize) {
        let (at, now) = (self.at(), self.now);
        let store_lost = self.hosts[n].direct && !self.is_answered(n);
        let rng = &mut self.rng;
        let cell = std::cell::RefCell::new(rng);
        let pick = |addrs: &[SocketAddr]| cell.borrow_mut().choice(addrs).copied();
        let host = &mut self.hosts[n];
        let neighbours = host
            .neighbours
            .clone()
            .expect("a source is chosen only once the list of hosts has been read");
        match host.sources.next(at, &neighbours, store_lost, pick) {
            Action::Ask((id, addr)) => self.ask(n, &id, addr),
            Action::Wait(pause) => {
                if store_lost {
                    host.direct = false;
                }
                host.wake_at = now + (pause.as_millis() as u64).max(STEP_MS);
            }
            Action::ReadStore => {
                host.direct = true;
                let answered = self.is_answered(n);
                self.hosts[n].wake_at =
                    now + if answered { SOURCE_CHECK_MS } else { SOURCE_CHECK_LOST_MS };
            }
            Action::PollFallback(addr) => {
                host.direct = true;
                host.wake_at = u64::MAX;
                let peer = self.host_at(addr);
                self.hosts[n].helper = Some(peer);
            }
        }
    }

    fn host_at(&self, addr: SocketAddr) -> usize {
        usize::from(addr.port() - FIRST_PORT)
    }

    fn ask(&mut self, n: usize, id: &HostId, addr: SocketAddr) {
        let (peer, at) = (self.host_at(addr), self.at());
        match self.hosts[peer].process {
            Process::Runs => {
                let (answer, reads) = (self.answer(peer), self.is_answered(n));
                self.receive(n, peer);
                if self.hosts[n].sources.on_answer(id, answer, reads, at) {
                    self.hosts[n].follows = Some(peer);
                    self.hosts[n].direct = false;
                    self.hosts[n].has_read = false;
                }
            }
            Process::Stopped => self.hosts[n].sources.on_no_answer(id, NoAnswer::Refused, at),
            Process::Lost => {
                self.hosts[n].wake_at = self.now + CONNECT_TIMEOUT_MS;
                let after = at + Duration::from_millis(CONNECT_TIMEOUT_MS);
                self.hosts[n].sources.on_no_answer(id, NoAnswer::Silent, after);
            }
        }
    }
}

//! Registration of starting hosts, with the store's appends to one partition at a time.

use std::{cmp::Reverse, collections::BTreeMap};

use jacinthbeam_host::process::peers::relay::{self, MIN_RELAYS};

use super::{Fleet, Process, Store};

/// Time that the store takes for an append to a partition, and for an answer.
const APPEND_MS: u64 = 2;
const ANSWER_MS: u64 = 4;

/// Time for which a host collects the entries of hosts that follow it.
const COLLECTING_MS: u64 = 200;

/// Interval at which a reader reads the list of hosts.
const LIST_READ_MS: u64 = 2000;

/// Step of the registration of one host.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Reads the relays at its turn.
    Turn,
    /// Reads the relays again after it has listed itself.
    Settled,
}

/// Entries on their way into the lists.
#[derive(Default)]
pub(super) struct Appends {
    /// Hosts whose entries are visible from a time on.
    relays: BTreeMap<u64, Vec<usize>>,
    listed: BTreeMap<u64, Vec<usize>>,
    /// Hosts whose entries a host collects, and when it writes them.
    collected: BTreeMap<usize, (u64, Vec<usize>)>,
    enrolled: Vec<bool>,
    /// When the list of relays has processed all appends.
    relays_free_at: u64,
    /// The longest wait of an append, in milliseconds.
    pub(super) longest_wait: u64,
}

impl Fleet {
    /// The longest time that an append waited for the ones before it.
    pub fn longest_append_wait(&self) -> u64 {
        self.appends.longest_wait
    }

    /// Number of relays.
    pub fn relays(&self) -> usize {
        self.relays.iter().filter(|relay| **relay).count()
    }

    /// Number of running hosts that are in the list of hosts.
    pub fn listed(&self) -> usize {
        self.listed.iter().filter(|listed| **listed).count()
    }

    pub(super) fn apply_appends(&mut self) {
        let now = self.now;
        for (list, visible) in [
            (&mut self.relays, &mut self.appends.relays),
            (&mut self.listed, &mut self.appends.listed),
        ] {
            let later = visible.split_off(&(now + 1));
            for host in std::mem::replace(visible, later).into_values().flatten() {
                list[host] = true;
            }
        }
        self.mark_relays();
        let due = self.appends.collected.iter().filter(|(_, (at, _))| *at <= now);
        for writer in due.map(|(writer, _)| *writer).collect::<Vec<_>>() {
            let (_, hosts) = self.appends.collected.remove(&writer).expect("it is due");
            self.calls += 1;
            let visible = now + APPEND_MS + ANSWER_MS + self.rng.u64(0..LIST_READ_MS);
            self.appends.listed.entry(visible).or_default().extend(hosts);
        }
    }

    /// Puts relays first in the order of their domains.
    fn mark_relays(&mut self) {
        for n in 0..self.hosts.len() {
            if !self.relays[n] || std::mem::replace(&mut self.hosts[n].entry.relay, true) {
                continue;
            }
            let domain = n % self.domains.len();
            let hosts = &self.hosts;
            let key = |n: &usize| {
                let entry = &hosts[*n].entry;
                (Reverse(entry.relay), Reverse(entry.processor), *n)
            };
            self.domains[domain].sort_by_key(key);
            for (position, n) in self.domains[domain].iter().enumerate() {
                self.hosts[*n].position = position;
            }
        }
    }

    /// Starts a host.
    pub(super) fn start(&mut self, n: usize) {
        self.hosts[n].process = Process::Runs;
        if !self.first_start {
            self.calls += 1;
            if self.relays_suffice(n) {
                return self.finish_registration(n);
            }
        }
        let turn = relay::turn(self.hosts[n].entry.processor, self.rng.f64());
        self.hosts[n].registration = Some((self.now + turn.as_millis() as u64, Step::Turn));
    }

    /// Takes the next step of a host's registration, if one is due.
    pub(super) fn register(&mut self, n: usize) {
        let Some((at, step)) = self.hosts[n].registration else { return };
        if self.now < at || self.hosts[n].store != Store::Answers {
            return;
        }
        self.hosts[n].registration = None;
        self.calls += 1;
        if step == Step::Settled || self.relays_suffice(n) {
            return self.finish_registration(n);
        }
        self.calls += 1;
        let begins = self.appends.relays_free_at.max(self.now);
        self.appends.relays_free_at = begins + APPEND_MS;
        self.appends.longest_wait = self.appends.longest_wait.max(begins - self.now);
        self.appends.relays.entry(begins + APPEND_MS + ANSWER_MS).or_default().push(n);
        let settled = begins + APPEND_MS + relay::SETTLE_TIME.as_millis() as u64;
        self.hosts[n].registration = Some((settled, Step::Settled));
    }

    fn relays_suffice(&self, n: usize) -> bool {
        let domain = &self.domains[n % self.domains.len()];
        let others = domain.iter().filter(|host| **host != n && self.relays[**host]).count();
        self.relays[n] || others >= MIN_RELAYS
    }

    fn finish_registration(&mut self, n: usize) {
        if self.relays[n] {
            // It reads the list of hosts, and adds itself if it isn't in it.
            self.calls += 1 + usize::from(!self.listed[n]);
            self.hosts[n].has_list = true;
            self.listed[n] = true;
        }
        self.update_neighbours(n);
    }

    /// Lets host `n` send its entry to the host that it follows.
    pub(super) fn enrol(&mut self, n: usize, writer: usize) {
        let len = self.hosts.len();
        self.appends.enrolled.resize(len, false);
        if self.listed[n] || std::mem::replace(&mut self.appends.enrolled[n], true) {
            return;
        }
        let due = self.now + COLLECTING_MS;
        self.appends.collected.entry(writer).or_insert((due, Vec::new())).1.push(n);
    }
}

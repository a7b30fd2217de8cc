//! Faults that are injected in a step.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use super::{HOSTS, Split, World};

impl World {
    pub(super) fn inject_faults(&mut self) {
        let rates = self.fault_rates;
        if self.chance(rates.duty_change) {
            let to = self.rng.usize(0..HOSTS);
            self.assign_duty(to);
        }
        self.split_or_heal();
        self.restore_store();
        for n in 0..HOSTS {
            if self.chance(rates.store_cut) {
                self.hosts[n].has_store = !self.hosts[n].has_store;
                let has_store = self.hosts[n].has_store;
                self.trace(format!("h{n} reaches the store: {has_store}"));
            }
            if self.chance(rates.shutdown) {
                let until = self.now + Duration::from_millis(self.rng.u64(0..6000));
                self.hosts[n].shut_down_by(until);
            }
            if self.chance(rates.pause) {
                let until = self.now + Duration::from_millis(self.rng.u64(0..15_000));
                self.hosts[n].paused_until = Some(until);
                self.trace(format!("h{n} is suspended"));
            }
        }
        let names: Vec<ServerName> = self.servers.keys().cloned().collect();
        for id in names {
            self.restart_or_list(&id);
            if self.chance(rates.server_cut) {
                let cut = (self.rng.usize(0..HOSTS), id.clone());
                if !self.cut_servers.remove(&cut) {
                    self.cut_servers.insert(cut);
                }
            }
            if self.chance(rates.unlist) && !self.unlisted.remove(&id) {
                self.unlisted.insert(id.clone());
                self.trace(format!("{id} is unlisted"));
            }
            if self.chance(rates.drain) && self.servers[&id].leaves_at.is_none() {
                let leaves_at = self.now + Duration::from_millis(self.rng.u64(2000..6000));
                self.servers.get_mut(&id).unwrap().leaves_at = Some(leaves_at);
                self.trace(format!("{id} drains"));
            }
            let left = self.servers[&id].leaves_at.is_some_and(|at| at <= self.now);
            if left || self.chance(rates.crash) {
                let server = self.servers.remove(&id).unwrap();
                let start = self.now + Duration::from_millis(self.rng.u64(500..8000));
                self.pending_starts.push((start, server.index));
                self.trace(format!("{id} ends"));
            }
        }
        let now = self.now;
        let (due, rest) = self.pending_starts.drain(..).partition(|(at, _)| *at <= now);
        self.pending_starts = rest;
        let due: Vec<(Instant, usize)> = due;
        due.into_iter().for_each(|(_, index)| self.start_server(index));
    }

    /// Restarts a server by chance, and updates its entry some time after a restart.
    fn restart_or_list(&mut self, name: &ServerName) {
        if self.chance(self.fault_rates.restart) {
            self.incarnations += 1;
            let noticed_at = self.now + Duration::from_millis(self.rng.u64(0..2500));
            let server = self.servers.get_mut(name).expect("the caller iterates over all servers");
            server.restart(self.incarnations, noticed_at);
            self.trace(format!("{name} restarts"));
        }
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the caller iterates over all servers");
        if server.noticed_at.is_some_and(|at| at <= now) {
            server.noticed_at = None;
            server.listed_id = server.id.clone();
            self.trace(format!("the entry of {name} shows its restart"));
        }
    }

    /// Restores the store from an older copy by chance.
    fn restore_store(&mut self) {
        // Draws nothing without the fault, so that recorded seeds keep their schedules.
        if self.fault_rates.restore == 0.0 || !self.chance(self.fault_rates.restore) {
            return;
        }
        let lost = Duration::from_millis(self.rng.u64(0..6000));
        let left = self.log_times.partition_point(|at| self.now - *at > lost);
        self.trace(format!("the store goes back from {} to {left} records", self.log.len()));
        self.log.truncate(left);
        self.log_times.truncate(left);
        self.era = Era(self.era.0 + 1);
        self.store_back_at = Some(self.now + Duration::from_millis(self.rng.u64(0..2000)));
        let kill_probability = [0.0, 0.5, 1.0][self.rng.usize(0..3)];
        for n in 0..HOSTS {
            if self.chance(kill_probability) {
                self.trace(format!("h{n} is killed"));
                self.replace_process(n);
            }
        }
    }

    /// Starts a network partition by chance if there is none, or ends the present one when it is over.
    fn split_or_heal(&mut self) {
        if self.split.as_ref().is_some_and(|split| split.until <= self.now) {
            self.split = None;
            self.trace("the partition has healed".into());
        }
        let probability = self.fault_rates.split;
        if self.split.is_some() || !self.chance(probability) || self.servers.is_empty() {
            return;
        }
        let host = self.hosts.iter().position(|host| host.duty).unwrap_or_default();
        let at = self.rng.usize(0..self.servers.len());
        let server = self.servers.keys().nth(at).cloned().expect("the index is in bounds");
        let until = self.now + Duration::from_millis(self.rng.u64(1000..20_000));
        self.trace(format!("h{host} and {server} are partitioned off"));
        self.split = Some(Split { host, server, until });
        let next = (host + 1) % HOSTS;
        self.assign_duty(next);
    }
}

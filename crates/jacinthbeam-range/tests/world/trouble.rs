//! What goes wrong in a step.

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

use super::{HOSTS, Split, World};

impl World {
    pub(super) fn trouble(&mut self) {
        let odds = self.odds;
        if self.chance(odds.deal) {
            let to = self.rng.usize(0..HOSTS);
            self.deal(to);
        }
        self.split_or_heal();
        for n in 0..HOSTS {
            if self.chance(odds.store_cut) {
                self.hosts[n].has_store = !self.hosts[n].has_store;
                let has = self.hosts[n].has_store;
                self.tell(format!("h{n} reaches the store: {has}"));
            }
            if self.chance(odds.stop) {
                let until = self.now + Duration::from_millis(self.rng.u64(0..6000));
                self.hosts[n].stops_until(until);
            }
            if self.chance(odds.pause) {
                let until = self.now + Duration::from_millis(self.rng.u64(0..15_000));
                self.hosts[n].paused_until = Some(until);
                self.tell(format!("h{n} stands still"));
            }
        }
        let names: Vec<ServerName> = self.servers.keys().cloned().collect();
        for id in names {
            self.start_again_or_notice(&id);
            if self.chance(odds.server_cut) {
                let cut = (self.rng.usize(0..HOSTS), id.clone());
                if !self.cut_servers.remove(&cut) {
                    self.cut_servers.insert(cut);
                }
            }
            if self.chance(odds.unlist) && !self.unlisted.remove(&id) {
                self.unlisted.insert(id.clone());
                self.tell(format!("{id} is on no list"));
            }
            if self.chance(odds.drain) && self.servers[&id].leaves_at.is_none() {
                let leaves_at = self.now + Duration::from_millis(self.rng.u64(2000..6000));
                self.servers.get_mut(&id).unwrap().leaves_at = Some(leaves_at);
                self.tell(format!("{id} leaves"));
            }
            let left = self.servers[&id].leaves_at.is_some_and(|at| at <= self.now);
            if left || self.chance(odds.crash) {
                let server = self.servers.remove(&id).unwrap();
                let back = self.now + Duration::from_millis(self.rng.u64(500..8000));
                self.reborn.push((back, server.place));
                self.tell(format!("{id} ends"));
            }
        }
        let now = self.now;
        let (due, rest) = self.reborn.drain(..).partition(|(at, _)| *at <= now);
        self.reborn = rest;
        let due: Vec<(Instant, usize)> = due;
        due.into_iter().for_each(|(_, place)| self.bear(place));
    }

    fn start_again_or_notice(&mut self, name: &ServerName) {
        if self.chance(self.odds.reborn) {
            self.lives += 1;
            let noticed = self.now + Duration::from_millis(self.rng.u64(0..2500));
            let server = self.servers.get_mut(name).expect("it was listed a moment ago");
            server.start_again(self.lives, noticed);
            self.tell(format!("{name} starts again"));
        }
        let now = self.now;
        let server = self.servers.get_mut(name).expect("it was listed a moment ago");
        if server.noticed_at.is_some_and(|at| at <= now) {
            server.noticed_at = None;
            server.listed = server.id.clone();
            self.tell(format!("the entry of {name} shows it"));
        }
    }

    fn split_or_heal(&mut self) {
        if self.split.as_ref().is_some_and(|split| split.until <= self.now) {
            self.split = None;
            self.tell("the split has healed".into());
        }
        let odds = self.odds.split;
        if self.split.is_some() || !self.chance(odds) || self.servers.is_empty() {
            return;
        }
        let host = self.hosts.iter().position(|host| host.duty).unwrap_or_default();
        let at = self.rng.usize(0..self.servers.len());
        let server = self.servers.keys().nth(at).cloned().expect("the place is below their number");
        let until = self.now + Duration::from_millis(self.rng.u64(1000..20_000));
        self.tell(format!("h{host} and {server} are split off"));
        self.split = Some(Split { host, server, until });
        let next = (host + 1) % HOSTS;
        self.deal(next);
    }
}

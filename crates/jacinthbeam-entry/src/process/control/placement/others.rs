//! Loads of the backend servers that other hosts attend.

use std::net::SocketAddr;

use jacinthbeam_peer::message::{Answer, Question, ServerLoad};
use jacinthbeam_placement::{convert::Measured, view::Load};
use jacinthbeam_types::prelude::*;

use super::Heard;
use crate::process::control::{Control, Event};

/// Other hosts asked for their loads in each window.
const ASKED: usize = 4;
/// Loads kept of servers that this host does not attend.
const MAX_LOADS: usize = 1024;

impl Control {
    /// Asks a few hosts picked at random, so that what a host is asked does not grow with the fleet.
    pub(super) fn ask_for_loads(&mut self) {
        let mut hosts: Vec<SocketAddr> =
            self.list.entry_hosts.iter().map(|host| host.peer_address).collect();
        hosts.retain(|addr| *addr != self.me.peer_address);
        for addr in self.placement.rng.choose_multiple(hosts, ASKED) {
            let peers = self.peers.clone();
            let timeout = self.timing.alive_within;
            self.spawn_event(async move {
                match peers.ask(addr, &Question::Loads, timeout).await {
                    Ok(Answer::Loads(loads)) => Some(Event::Loads { by: addr, loads }),
                    Ok(_) | Err(_) => None,
                }
            });
        }
    }

    /// Loads of the servers attended here.
    pub(in super::super) fn answer_loads(&self) -> Answer {
        let load = |id: &ServerId| Some((self.placement.load(id)?.0 * 1000.0) as u32);
        let loads = self
            .open_servers()
            .filter_map(|(id, _)| Some(ServerLoad { server: id.clone(), milli_busy: load(id)? }));
        Answer::Loads(loads.collect())
    }

    /// Another host told its loads.
    pub(in super::super) fn heard_loads(&mut self, by: SocketAddr, loads: Vec<ServerLoad>) {
        let at = self.clock.now();
        if self.placement.heard.len() + loads.len() > MAX_LOADS {
            self.placement.heard.clear();
        }
        for ServerLoad { server, milli_busy } in loads {
            let load = Load(f64::from(milli_busy) / 1000.0);
            self.placement.heard.insert(server, Heard { measured: Measured { load, at }, by });
        }
    }
}

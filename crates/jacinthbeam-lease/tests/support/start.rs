//! How the fake starts: one cell, slots spread evenly, all hosts witnesses.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_config::change::{Base, Change, FileChange};
use jacinthbeam_lease::{
    Attendant, GrantState, Members, Observed, Proofs, Timing, Witness, attendant::Identity,
    membership::Heard,
};
use jacinthbeam_state::{
    Envelope, Record, RecordId, State,
    record::{JoinServer, OwnerRun},
};
use jacinthbeam_types::prelude::*;

use super::{Host, Server, World};

pub const SLOTS: u32 = 6;

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// State of a server that has just started.
pub fn fresh(incarnation: u64) -> GrantState {
    GrantState {
        incarnation: Incarnation(incarnation),
        token: Token(0),
        slots: BTreeSet::new(),
        until: 0,
        based_on: None,
        clock: 0,
        running: 0,
        running_older: 0,
        draining: false,
    }
}

/// A local clock that is off by `drift` thousandths.
pub fn local(start: Instant, ms: u64, drift: i64) -> Instant {
    start + Duration::from_micros((ms as i64 * (1000 + drift)) as u64)
}

/// Hosts and servers take turns at the two extremes of the accepted clock error.
fn drift(at: usize) -> i64 {
    if at.is_multiple_of(2) { -1 } else { 1 }
}

pub fn heard(host: &str, incarnation: u64) -> Heard {
    Heard {
        host: name(host),
        incarnation: Incarnation(incarnation),
        peer_address: ([127, 0, 0, 1], 7000).into(),
        stopping: false,
        retired: None,
        unreachable: BTreeSet::new(),
        attends: BTreeSet::new(),
    }
}

impl World {
    /// Hosts a, b, … and servers s1, s2, …; `service` is JSON settings of the service.
    pub fn new(hosts: usize, servers: usize, service: &str, seed: u64) -> Self {
        let start = Instant::now();
        let server = |at: usize| Server {
            id: name(&format!("s{}", at + 1)),
            state: fresh(at as u64 + 1),
            leaving: false,
            drift: drift(at),
            boot: 0,
        };
        let servers: Vec<Server> = (0..servers).map(server).collect();
        let mut world = Self {
            ms: 0,
            start,
            hosts: (0..hosts).map(|at| host(at, start, &servers)).collect(),
            servers,
            log: Vec::new(),
            state: State::new(),
            moves: BTreeMap::new(),
            trace: String::new(),
            shown: BTreeMap::new(),
            later: BTreeMap::new(),
            sequence: 0,
            out: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        };
        for record in world.first_records(service) {
            let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
            world.write(Envelope { id, why: "start".into(), record });
        }
        world
    }

    fn first_records(&self, service: &str) -> [Record; 3] {
        let text = format!(
            r#"{{"services": {{"tilecast": {{"team": "ice", "division": {{"keyed": {{"slots": {SLOTS}}}}},
            "concurrency": 3, "connections": 130 {service}}}}}}}"#
        );
        let file = FileChange { name: name("a.json"), base: Base::default(), text: Some(text) };
        let join = |server: &Server| JoinServer {
            server: server.id.clone(),
            incarnation: server.state.incarnation,
            cell: name("kamloops-a"),
        };
        let share = SLOTS / self.servers.len() as u32;
        let run = |server| OwnerRun { server, slots: share };
        let witness = |host: &Host| jacinthbeam_state::Witness {
            host: host.id.clone(),
            incarnation: host.witness.incarnation(),
            peer_address: host.members.own().peer_address,
        };
        [
            Record::Config(Change { files: vec![file] }),
            Record::Found {
                service: name("tilecast"),
                base: None,
                slots: SLOTS,
                servers: self.servers.iter().map(join).collect(),
                owners: (0..self.servers.len() as u32).map(run).collect(),
            },
            Record::Witnesses {
                cell: name("kamloops-a"),
                base: None,
                members: self.hosts.iter().map(witness).collect(),
                retired: Vec::new(),
            },
        ]
    }
}

fn host(at: usize, start: Instant, servers: &[Server]) -> Host {
    let own = heard(&char::from(b'a' + at as u8).to_string(), 100 + at as u64);
    let attendant = |server: &Server| {
        Attendant::new(Identity {
            server: server.id.clone(),
            service: name("tilecast"),
            cell: name("kamloops-a"),
            host: own.host.clone(),
            incarnation: own.incarnation,
        })
    };
    Host {
        id: own.host.clone(),
        state: State::new(),
        attendants: servers.iter().map(attendant).collect(),
        drift: drift(at + 1),
        proofs: Proofs::new(),
        witness: Witness::new(own.incarnation, name("kamloops-a")),
        observed: Observed::new(start),
        elected: vec![None; servers.len()],
        asks: vec![None; servers.len()],
        handed_over: 0,
        members: Members::new(start, own, &Timing::default()),
    }
}

//! A stream in memory, and short forms of the records that tests append to it.

use std::{collections::BTreeMap, fmt::Write};

use jacinthbeam_config::{
    change::{Base, Change, FileChange},
    file::FileName,
};
use jacinthbeam_state::{
    Envelope, Outcome, Record, RecordId, State, Why, Witness,
    record::{JoinServer, OwnerRun, SlotBase, SlotTarget},
};
use jacinthbeam_types::prelude::*;

/// Two keyed services of eight slots; one holds, one yields. And one that is undivided.
pub const CONFIG: &str = r#"{
  "services": {
    "tilecast": { "team": "ice", "division": { "keyed": { "slots": 8 } }, "concurrency": 3, "connections": 130 },
    "callbell": { "team": "ice", "division": { "keyed": { "slots": 8 } }, "concurrency": 3, "connections": 130, "cut_off": "yield" },
    "archiv": { "team": "log", "division": "undivided", "concurrency": 6, "connections": 60 }
  }
}"#;

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// A stream, its reader, and what the reader says to an operator.
#[derive(Debug, Default)]
pub struct Session {
    pub state: State,
    pub log: Vec<Vec<u8>>,
    pub text: String,
}

impl Session {
    /// A session with [`CONFIG`] in force.
    pub fn configured() -> Self {
        let mut session = Self::default();
        session.publish("10-services.json", Some(CONFIG));
        session
    }

    /// Service `tilecast` with slots 0-3 on t1 and 4-7 on t2, both in cell kamloops-a, and t3 without slots.
    pub fn divided() -> Self {
        let mut session = Self::configured();
        session.append("first division", found("tilecast", 8, &[("t1", 4), ("t2", 4)]));
        session.append("new host", join(&session.state, "t3", "tilecast", 3));
        session
    }

    /// As [`Session::divided`], with witnesses 101 to 104 in cell kamloops-a.
    pub fn witnessed() -> Self {
        let mut session = Self::divided();
        session.append("first witnesses", witnesses(&session.state, 101..=104, &[]));
        session
    }

    pub fn append(&mut self, why: &str, record: Record) -> Outcome {
        let sequence = self.log.len() as u64;
        let id = RecordId { incarnation: Incarnation(900), sequence };
        let envelope = Envelope { id, why: why.into(), record };
        let buf = envelope.encode().expect("a short record");
        self.append_bytes(why, buf)
    }

    pub fn append_bytes(&mut self, why: &str, buf: Vec<u8>) -> Outcome {
        let offset = Offset(self.log.len() as u64);
        let outcome = self.state.apply_bytes(offset, &buf).expect("the next record");
        self.log.push(buf);
        writeln!(self.text, "{offset:>3}  {why}\n     {outcome}").expect("a string takes any text");
        outcome
    }

    pub fn publish(&mut self, file: &str, text: Option<&str>) -> Outcome {
        let config = &self.state.config;
        let file: FileName = name(file);
        let hash = config.files().get(&file).map(|file| file.hash);
        let base = Base { hash, seen: config.version() };
        let change = FileChange { name: file, base, text: text.map(str::to_owned) };
        self.append("an operator publishes", Record::Config(Change { files: vec![change] }))
    }

    pub fn owner(&self, slot: u32) -> Option<String> {
        let owner = self.state.owner(&name("tilecast"), SlotId(slot))?;
        Some(owner.server.to_string())
    }

    pub fn owners(&self) -> String {
        let owner = |slot| self.owner(slot).unwrap_or_else(|| "-".into());
        (0..8).map(owner).collect::<Vec<_>>().join(" ")
    }

    /// Tells who owns the slots of `tilecast`, in the text of the session.
    pub fn show_owners(&mut self) {
        let owners = self.owners();
        writeln!(self.text, "     owners of tilecast: {owners}").expect("a string takes any text");
    }
}

/// Why a record is void as a whole.
pub fn why(outcome: Outcome) -> Why {
    match outcome {
        Outcome::Void(why) => why,
        applied => panic!("not void: {applied}"),
    }
}

/// The cell of a server: t… in kamloops-a, any other in kelowna-b.
pub fn cell(server: &str) -> CellId {
    name(if server.starts_with('t') { "kamloops-a" } else { "kelowna-b" })
}

pub fn found(service: &str, slots: u32, owners: &[(&str, u32)]) -> Record {
    let server = |(at, (server, _)): (usize, &(&str, u32))| JoinServer {
        server: name(server),
        incarnation: Incarnation(at as u64 + 1),
        cell: cell(server),
    };
    let run =
        |(at, (_, slots)): (usize, &(&str, u32))| OwnerRun { server: at as u32, slots: *slots };
    Record::Found {
        service: name(service),
        base: None,
        slots,
        servers: owners.iter().enumerate().map(server).collect(),
        owners: owners.iter().enumerate().map(run).collect(),
    }
}

pub fn join(state: &State, server: &str, service: &str, incarnation: u64) -> Record {
    Record::Join {
        server: name(server),
        service: name(service),
        cell: cell(server),
        incarnation: Incarnation(incarnation),
        base: state.servers.get(&name(server)).map(|known| known.epoch),
    }
}

/// The slots of `tilecast` with their present epochs.
pub fn bases(state: &State, slots: &[u32]) -> Vec<SlotBase> {
    let division = &state.services[&name::<ServiceName>("tilecast")];
    let base = |slot: &u32| {
        let slot = SlotId(*slot);
        SlotBase { slot, epoch: division.slot(slot).map(|slot| slot.epoch).unwrap_or_default() }
    };
    slots.iter().map(base).collect()
}

pub fn shift(state: &State, slots: &[u32], from: &str, to: &str) -> Record {
    let slots = bases(state, slots);
    Record::Move { service: name("tilecast"), slots, from: name(from), to: name(to) }
}

pub fn release(state: &State, slots: &[u32], from: &str) -> Record {
    Record::Release { service: name("tilecast"), slots: bases(state, slots), from: name(from) }
}

pub fn reassign(state: &State, slots: &[u32], server: &str) -> Record {
    Record::Reassign { service: name("tilecast"), slots: bases(state, slots), server: name(server) }
}

pub fn epoch_of(state: &State, server: &str) -> Epoch {
    state.servers.get(&name(server)).map(|known| known.epoch).unwrap_or_default()
}

/// An eviction based on the present epochs.
pub fn evict(state: &State, server: &str, promised: &[u64], to: &[(u32, &str)]) -> Record {
    let known = state.servers.get(&name(server));
    let set = known.and_then(|known| state.cells.get(&known.cell));
    let target = |(slot, to): &(u32, &str)| SlotTarget { slot: SlotId(*slot), to: name(to) };
    Record::Evict {
        server: name(server),
        server_epoch: epoch_of(state, server),
        witness_epoch: set.map(|set| set.epoch),
        promised: promised.iter().copied().map(Incarnation).collect(),
        to: to.iter().map(target).collect(),
    }
}

pub fn keep(state: &State, server: &str) -> Record {
    Record::Keep { server: name(server), server_epoch: epoch_of(state, server) }
}

pub fn leave(state: &State, server: &str) -> Record {
    Record::Leave { server: name(server), server_epoch: epoch_of(state, server) }
}

/// A set for cell kamloops-a of hosts with these incarnations, based on the present set.
pub fn witnesses(state: &State, members: impl Iterator<Item = u64>, retired: &[u64]) -> Record {
    let member = |life: u64| Witness {
        host: name(&format!("host-{life}")),
        incarnation: Incarnation(life),
        peer_address: ([127, 0, 0, 1], 7000 + life as u16).into(),
    };
    let cell: CellId = name("kamloops-a");
    let base = state.cells.get(&cell).map(|set| set.epoch);
    let retired = retired.iter().copied().map(Incarnation).collect();
    Record::Witnesses { cell, base, members: members.map(member).collect(), retired }
}

/// A split of a key of `tilecast`, based on the present epoch of its slot.
pub fn split(state: &State, key: u64) -> Record {
    let division = &state.services[&name::<ServiceName>("tilecast")];
    let parent = division.parent_of(KeyHash(key));
    Record::Split {
        service: name("tilecast"),
        key: KeyHash(key),
        slot: division.next_split(),
        base: bases(state, &[parent.0])[0].epoch,
    }
}

/// The end of a split, based on the present epochs.
pub fn merge(state: &State, key: u64) -> Record {
    let division = &state.services[&name::<ServiceName>("tilecast")];
    let slots = [division.slot_of(KeyHash(key)).0, division.parent_of(KeyHash(key)).0];
    let bases = bases(state, &slots);
    let (base, parent_base) = (bases[0].epoch, bases[1].epoch);
    Record::Merge { service: name("tilecast"), key: KeyHash(key), base, parent_base }
}

/// Slots with owners, in the order of slots.
pub fn owners(state: &State) -> BTreeMap<(ServiceName, SlotId), ServerId> {
    let services = state.services.iter().chain(&state.retired);
    let all = services.flat_map(|(service, division)| {
        division.owners().map(move |(slot, owner)| ((service.clone(), slot), owner))
    });
    all.filter_map(|(slot, owner)| Some((slot, owner?.clone()))).collect()
}

/// Checks that owner tables and the servers' own lists say the same.
pub fn check_lists(state: &State) {
    let mut listed = BTreeMap::new();
    for (id, server) in state.servers.iter() {
        for slot in server.slots() {
            assert!(server.is_active());
            assert_eq!(listed.insert((server.service.clone(), *slot), id.clone()), None);
        }
    }
    assert_eq!(listed, owners(state));
    let divisions = state.services.values().chain(state.retired.values());
    assert_eq!(divisions.map(|division| division.owned()).sum::<usize>(), listed.len());
}

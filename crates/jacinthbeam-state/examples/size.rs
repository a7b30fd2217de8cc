//! Prints what the state of a large fleet costs: memory, time per record, clones and snapshots.
//!
//! `cargo run --release -p jacinthbeam-state --example size -- <slots> [slots of a server, 100]`.
//! Memory is resident memory of the process, so each size needs a process of its own. Every record
//! is applied while a clone of the state before it is held, as by threads that serve requests.

use std::{fs, hint::black_box, time::Instant};

use jacinthbeam_config::{
    change::{Base, Change, FileChange},
    file::FileName,
};
use jacinthbeam_state::{
    Envelope, Record, RecordId, State,
    record::{JoinServer, OwnerRun, SlotBase, SlotTarget},
};
use jacinthbeam_types::prelude::*;

/// Most slots that a service may be configured to have here; more are spread over several services.
const SERVICE_SLOTS: u32 = 1_000_000;
/// Slots of one server unless told otherwise.
const SLOTS_PER_SERVER: u32 = 100;
const MOVES: u32 = 20_000;
const EVICTIONS: u32 = 100;
const CLONES: u32 = 1000;

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let slots: u32 = std::env::args().nth(1).as_deref().unwrap_or("10000").parse()?;
    let of_server = std::env::args().nth(2).map(|text| text.parse()).transpose()?;
    let of_server = of_server.unwrap_or(SLOTS_PER_SERVER);
    let mut fleet = Fleet { slots, of_server, state: State::new() };
    let before = resident()?;
    let longest = fleet.divide()?;
    let after = resident()?;
    let servers = fleet.state.servers.len();
    println!("{slots} slots, {servers} servers");
    println!("  memory: {:.1} MiB", (after - before) as f64 / 1024.0);
    println!("  longest Found record: {:.0} KiB", longest as f64 / 1024.0);

    let start = Instant::now();
    (0..CLONES).for_each(|_| drop(black_box(fleet.state.clone())));
    println!("  clone: {:.1} us", micros(start) / f64::from(CLONES));

    let records = (0..MOVES).map(|at| fleet.move_one(at)).collect::<Result<Vec<_>, Failure>>()?;
    let bytes = records.first().map_or(Ok(0), encoded)?;
    println!("  Move of 1 slot: {:.1} us, {bytes} bytes", fleet.apply_all(records)?);
    let mut total = 0.0;
    for at in 0..EVICTIONS {
        total += fleet.apply_all(vec![fleet.evict(at)?])?;
    }
    println!("  Evict of about {of_server} slots: {:.1} us", total / f64::from(EVICTIONS));
    fleet.snapshot("few moves")?;

    fleet.scatter()?;
    println!("  memory after every slot moved: {:.1} MiB", (resident()? - before) as f64 / 1024.0);
    fleet.snapshot("every slot moved")
}

/// The state under measurement.
struct Fleet {
    slots: u32,
    of_server: u32,
    state: State,
}

impl Fleet {
    fn services(&self) -> u32 {
        self.slots.div_ceil(SERVICE_SLOTS)
    }

    fn service_slots(&self) -> u32 {
        self.slots / self.services()
    }

    fn apply(&mut self, record: Record) -> Result<(), Failure> {
        let id = RecordId { incarnation: Incarnation(1), sequence: self.state.next.0 };
        let envelope = Envelope { id, why: "measured".into(), record };
        let outcome = self.state.apply(self.state.next, &envelope)?;
        if outcome.is_applied() { Ok(()) } else { Err(outcome.to_string().into()) }
    }

    /// Configures and divides the services. Returns the length of the longest record.
    fn divide(&mut self) -> Result<usize, Failure> {
        let slots = self.service_slots();
        let entry = |service: u32| {
            format!(
                r#""{}": {{ "team": "t", "division": {{ "keyed": {{ "slots": {slots} }} }}, "concurrency": 3, "connections": 130 }}"#,
                service_name(service)
            )
        };
        let entries: Vec<_> = (0..self.services()).map(entry).collect();
        let text = format!(r#"{{ "services": {{ {} }} }}"#, entries.join(", "));
        let name: FileName = "services.json".parse()?;
        let file = FileChange { name, base: Base::default(), text: Some(text) };
        self.apply(Record::Config(Change { files: vec![file] }))?;
        let mut longest = 0;
        for service in 0..self.services() {
            let record = found(service, slots, self.of_server)?;
            let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
            let envelope = Envelope { id, why: String::new(), record };
            longest = longest.max(envelope.encode()?.len());
            self.apply(envelope.record)?;
        }
        Ok(longest)
    }

    /// A record that moves one slot, based on the present epoch.
    fn move_one(&self, at: u32) -> Result<Record, Failure> {
        let slots = self.service_slots();
        let slot = SlotId((at.wrapping_mul(7919)) % slots);
        let service: ServiceName = service_name(0).parse()?;
        let owner = self.state.owner(&service, slot).ok_or("no owner")?;
        let servers = slots / self.of_server;
        let to: ServerId = server_name(0, spread(at) % servers).parse()?;
        let to = if to == owner.server {
            server_name(0, (spread(at) + 1) % servers).parse()?
        } else {
            to
        };
        let slots = vec![SlotBase { slot, epoch: owner.epoch }];
        Ok(Record::Move { service, slots, from: owner.server, to })
    }

    fn evict(&self, at: u32) -> Result<Record, Failure> {
        let service: ServiceName = service_name(0).parse()?;
        let server: ServerId = server_name(0, at).parse()?;
        let known = self.state.servers.get(&server).ok_or("no such server")?;
        let others: Vec<_> = self.state.servers_of(&service).map(|(id, _)| id).collect();
        let target = |slot: &SlotId| {
            let to = others[spread(slot.0) as usize % others.len()].clone();
            SlotTarget { slot: *slot, to }
        };
        Ok(Record::Evict {
            server,
            server_epoch: known.epoch,
            witness_epoch: None,
            promised: Vec::new(),
            to: known.slots().iter().map(target).collect(),
        })
    }

    /// Applies records and returns the mean time of one, in microseconds. Stale ones are not
    /// counted as failures.
    fn apply_all(&mut self, records: Vec<Record>) -> Result<f64, Failure> {
        let count = records.len() as f64;
        let mut total = 0.0;
        for record in records {
            let id = RecordId { incarnation: Incarnation(1), sequence: self.state.next.0 };
            let envelope = Envelope { id, why: "measured".into(), record };
            let held = self.state.clone();
            let start = Instant::now();
            black_box(self.state.apply(held.next, &envelope)?);
            total += micros(start);
        }
        Ok(total / count)
    }

    /// Gives every slot another owner by a record of its own, which is the worst case for the size
    /// of a snapshot.
    fn scatter(&mut self) -> Result<(), Failure> {
        let servers = self.service_slots() / self.of_server;
        for service in 0..self.services() {
            let name: ServiceName = service_name(service).parse()?;
            for slot in (0..self.service_slots()).map(SlotId) {
                let Some(owner) = self.state.owner(&name, slot) else { continue };
                let to: ServerId = server_name(service, spread(slot.0) % servers).parse()?;
                let fit = self.state.servers.get(&to).is_some_and(|known| known.is_active());
                if to == owner.server || !fit {
                    continue;
                }
                let slots = vec![SlotBase { slot, epoch: owner.epoch }];
                self.apply(Record::Move { service: name.clone(), slots, from: owner.server, to })?;
            }
        }
        Ok(())
    }

    fn snapshot(&self, when: &str) -> Result<(), Failure> {
        let start = Instant::now();
        let buf = self.state.encode()?;
        let encode = micros(start) / 1000.0;
        let parts = self.state.to_snapshot_parts()?.len();
        let start = Instant::now();
        let read = State::decode(self.state.next, &buf)?;
        let decode = micros(start) / 1000.0;
        if read != self.state {
            return Err("the snapshot reads back as another state".into());
        }
        let kib = buf.len() as f64 / 1024.0;
        println!(
            "  snapshot ({when}): {kib:.0} KiB in {parts} parts, encode {encode:.1} ms, decode {decode:.1} ms"
        );
        Ok(())
    }
}

/// Bytes of a record with a short reason.
fn encoded(record: &Record) -> Result<usize, Failure> {
    let id = RecordId { incarnation: Incarnation(u64::MAX), sequence: u64::from(MOVES) };
    let why = "backend-0-000001 is busier than backend-0-000002".to_owned();
    Ok(Envelope { id, why, record: record.clone() }.encode()?.len())
}

fn found(service: u32, slots: u32, of_server: u32) -> Result<Record, Failure> {
    let servers = slots / of_server;
    let join = |server: u32| -> Result<JoinServer, Failure> {
        let cell = format!("kamloops-a:{}", server % 64);
        let incarnation =
            Incarnation(0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(server) + 1));
        Ok(JoinServer {
            server: server_name(service, server).parse()?,
            incarnation,
            cell: cell.parse()?,
        })
    };
    let run = |server: u32| OwnerRun { server, slots: of_server };
    Ok(Record::Found {
        service: service_name(service).parse()?,
        base: None,
        slots,
        servers: (0..servers).map(join).collect::<Result<_, _>>()?,
        owners: (0..servers).map(run).collect(),
    })
}

fn service_name(service: u32) -> String {
    format!("service-{service}")
}

fn server_name(service: u32, server: u32) -> String {
    format!("backend-{service}-{server:06}")
}

/// A number that is spread well over its range, the same on every run.
fn spread(n: u32) -> u32 {
    (n.wrapping_add(1)).wrapping_mul(0x9e37_79b1) >> 7
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

/// Resident memory of this process in KiB.
fn resident() -> Result<u64, Failure> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    let kib = line.split_whitespace().nth(1).ok_or("no value of VmRSS")?;
    Ok(kib.parse()?)
}

//! Pure folds and codecs, timed without a host.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use jacinthbeam::{
    config::change::{Base, Change, FileChange},
    platform::format::hosts::{BackendServer, HostList},
    state::{
        Envelope, Record, RecordId, State,
        record::{JoinServer, OwnerRun},
    },
    types::prelude::*,
};

use super::{Row, host::others, report::Timed};
use crate::{deployment::Error, statistic::micros};

/// Repetitions of what is timed.
const TIMES: u32 = 20;
/// Keys that are looked up.
const LOOK_UPS: u32 = 100_000;
/// Slots of the service whose keys are split out.
const SLOTS: u32 = 1_200;
/// Backend servers for each entry host in the platform's list, as in the deployments of today.
const SERVERS_A_HOST: u32 = 3;
/// Backend servers of that service.
const SERVERS: u32 = 12;

fn failed(err: &dyn std::fmt::Display) -> Error {
    Error::Publish(err.to_string())
}

/// A change of one file, in a configuration of so many files.
pub(super) fn files(count: u32) -> Result<Row, Error> {
    let mut state = State::new();
    let all = (0..count).map(|n| file(n, 0, Base::default()));
    apply(&mut state, Record::Config(Change { files: all.collect() }))?;
    let bytes = state.encode().map_err(|err| failed(&err))?.len();
    let mut took = Duration::ZERO;
    for time in 1..=TIMES {
        let held = state.clone();
        let known = state.config.files().get(&file_name(0));
        let base = Base { hash: known.map(|file| file.hash), seen: state.config.version() };
        let change = Change { files: vec![file(0, time, base)] };
        let started = Instant::now();
        apply(&mut state, Record::Config(change))?;
        took += started.elapsed();
        drop(held);
    }
    Ok(Row::Timed(Timed::new(
        count,
        vec![
            ("fold of one change, us", micros(took) / f64::from(TIMES)),
            ("state, bytes", bytes as f64),
        ],
    )))
}

fn file_name(number: u32) -> jacinthbeam::config::file::FileName {
    format!("{number:04}.json").parse().expect("a proper name")
}

fn file(number: u32, queue: u32, base: Base) -> FileChange {
    let text = format!(
        r#"// Service {number}.
{{
  "services": {{
    "service-{number}": {{
      "team": "team-{}",
      "division": "undivided",
      "concurrency": 3,
      "connections": 130,
      "queue": {},
      "default_deadline_ms": 2000,
      "balance": {{ "weights": {{ "unavailable": 10, "churn": 1 }} }},
    }},
  }},
}}
"#,
        number % 50,
        queue + 8
    );
    FileChange { name: file_name(number), base, text: Some(text) }
}

/// Splits of hot keys, and look-ups of keys while they stand.
pub(super) fn splits(count: u32) -> Result<Row, Error> {
    let mut state = divided()?;
    let before = state.encode().map_err(|err| failed(&err))?.len();
    let service: ServiceName = "bench".parse().expect("a proper name");
    let mut took = Duration::ZERO;
    for number in 0..count {
        let division = &state.services[&service];
        let key = KeyHash::of(format!("hot{number}").as_bytes());
        let parent = division.slot_of(key);
        let base = division.owner(parent).map(|owner| owner.epoch).unwrap_or_default();
        let slot = division.next_split();
        let held = state.clone();
        let started = Instant::now();
        apply(&mut state, Record::Split { service: service.clone(), key, slot, base })?;
        took += started.elapsed();
        drop(held);
    }
    let bytes = state.encode().map_err(|err| failed(&err))?.len() - before;
    let division = &state.services[&service];
    let started = Instant::now();
    for number in 0..LOOK_UPS {
        black_box(division.slot_of(KeyHash::of(&number.to_be_bytes())));
    }
    let look_up = started.elapsed();
    Ok(Row::Timed(Timed::new(
        count,
        vec![
            ("split, us", micros(took) / f64::from(count.max(1))),
            ("look-up of a key, ns", micros(look_up) * 1e3 / f64::from(LOOK_UPS)),
            ("state, bytes more", bytes as f64),
        ],
    )))
}

fn divided() -> Result<State, Error> {
    let mut state = State::new();
    let text = format!(
        r#"{{ "services": {{ "bench": {{ "team": "t", "division": {{ "keyed": {{ "slots": {SLOTS} }} }}, "concurrency": 3, "connections": 130 }} }} }}"#
    );
    let change = FileChange { name: file_name(0), base: Base::default(), text: Some(text) };
    apply(&mut state, Record::Config(Change { files: vec![change] }))?;
    let join = |n: u32| JoinServer {
        server: format!("bench-{n}").parse().expect("a proper name"),
        incarnation: Incarnation(u64::from(n) + 1),
        cell: "near".parse().expect("a proper name"),
    };
    let found = Record::Found {
        service: "bench".parse().expect("a proper name"),
        base: None,
        slots: SLOTS,
        servers: (0..SERVERS).map(join).collect(),
        owners: (0..SERVERS).map(|server| OwnerRun { server, slots: SLOTS / SERVERS }).collect(),
    };
    apply(&mut state, found)?;
    Ok(state)
}

fn apply(state: &mut State, record: Record) -> Result<(), Error> {
    let id = RecordId { incarnation: Incarnation(1), sequence: state.next.0 };
    let envelope = Envelope { id, why: "measured".into(), record };
    let outcome = state.apply(state.next, &envelope).map_err(|err| failed(&err))?;
    match outcome.is_applied() {
        true => Ok(()),
        false => Err(failed(&outcome)),
    }
}

fn server(n: u32) -> BackendServer {
    BackendServer {
        id: format!("tilecast-{n:05}").parse().expect("a proper name"),
        service: "tilecast".parse().expect("a proper name"),
        cell: format!("other-{}:{}", n % 28, n / 28 / 48).parse().expect("a proper name"),
        address: ([10, 1 + (n >> 16) as u8, (n >> 8) as u8, n as u8], 80).into(),
        leaving: false,
    }
}

/// The platform's list of so many entry hosts and three times as many backend servers, as it is read.
pub(super) fn list(count: u32) -> Result<Row, Error> {
    let list = HostList {
        entry_hosts: others(count).collect(),
        backend_servers: (0..count * SERVERS_A_HOST).map(server).collect(),
    };
    let text = serde_json::to_vec(&list).map_err(|err| failed(&err))?;
    let started = Instant::now();
    for _ in 0..TIMES {
        let read: HostList = serde_json::from_slice(&text).map_err(|err| failed(&err))?;
        black_box(read == list);
    }
    let took = started.elapsed();
    Ok(Row::Timed(Timed::new(
        count,
        vec![
            ("list, bytes", text.len() as f64),
            ("read and compare, us", micros(took) / f64::from(TIMES)),
        ],
    )))
}

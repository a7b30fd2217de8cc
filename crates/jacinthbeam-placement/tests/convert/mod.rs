use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_config::change::{Base, Change, FileChange};
use jacinthbeam_placement::{
    Policy, Progress,
    convert::{Known, Measured, splits, view},
    rebalance,
    view::{Load, Standing},
};
use jacinthbeam_state::{
    Envelope, Outcome, Record, RecordId, State,
    record::{JoinServer, OwnerRun},
};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, at, name, rng};

const CONFIG: &str = r#"{ "services": { "tilecast": { "team": "ice",
    "division": { "keyed": { "slots": 8 } }, "concurrency": 3, "connections": 130 } } }"#;

/// Slots 0-5 on t1, 6 and 7 on t2.
fn state() -> State {
    let mut state = State::new();
    let base = Base { hash: None, seen: None };
    let file = FileChange { name: name("10.json"), base, text: Some(CONFIG.into()) };
    let join = |id: &str, life| JoinServer {
        server: name(id),
        incarnation: Incarnation(life),
        cell: name("kamloops-a"),
    };
    let owners = [(0, 6), (1, 2)].map(|(server, slots)| OwnerRun { server, slots });
    append(&mut state, Record::Config(Change { files: vec![file] }));
    append(
        &mut state,
        Record::Found {
            service: name("tilecast"),
            base: None,
            slots: 8,
            servers: vec![join("t1", 1), join("t2", 2)],
            owners: owners.into(),
        },
    );
    state
}

fn append(state: &mut State, record: Record) {
    let id = RecordId { incarnation: Incarnation(9), sequence: state.next.0 };
    let outcome = state.apply(state.next, &Envelope { id, why: "a test".into(), record });
    let outcome = outcome.expect("the next record");
    assert!(matches!(outcome, Outcome::Applied { .. }), "{outcome}");
}

fn tilecast(state: &State, started: u64, read: Option<u64>) -> jacinthbeam_placement::View {
    let loads = |count| (0..count).map(|slot| (SlotId(slot), Load(0.4))).collect();
    let attended: BTreeMap<ServerId, BTreeMap<SlotId, Load>> = [(name("t1"), loads(6))].into();
    let measured = |load| Measured { load: Load(load), at: at(NOW) };
    let known = Known {
        attended: &attended,
        sample: &[name("t2"), name("unknown")],
        loads: &[(name("t1"), measured(2.4)), (name("t2"), measured(0.1))].into(),
        cold: &BTreeMap::new(),
        leaving: &BTreeSet::new(),
        started: at(started),
    };
    view(state, &name("tilecast"), &known, |_| read.map(at)).expect("a divided service")
}

#[test]
fn view_shows_attended_slots_and_sampled_loads() {
    let view = tilecast(&state(), 0, Some(5));
    let [t1, t2] = ["t1", "t2"].map(|id| &view.servers[&name::<ServerId>(id)]);
    assert_eq!((view.servers.len(), view.active, view.capacity), (2, 2, Load(3.0)));
    assert_eq!((t1.slots.len(), t1.attended, t1.load), (6, true, Load(2.4)));
    assert_eq!((t2.slots.len(), t2.attended, t2.load), (0, false, Load(0.1)));
    assert_eq!((t1.standing, t1.slots[&SlotId(0)].since), (Standing::Active, Some(at(5))));
}

#[test]
fn restarted_host_does_not_take_fresh_moves_for_old_ones() {
    // An entry host restarts and learns the state from a snapshot, which tells no times. A slot
    // that another host moved seconds ago would look old and move again. Unknown times count as the
    // start of the process, so the least age passes first.
    let policy = Policy::default();
    let moves = |started| {
        let view = tilecast(&state(), started, None);
        rebalance(&view, &[], &policy, &Progress::default(), at(NOW), &mut rng()).len()
    };
    assert_eq!(moves(NOW - 59), 0);
    assert!(moves(NOW - 60) > 0);
}

#[test]
fn split_out_key_may_move_at_once_but_its_old_slot_may_not() {
    let mut state = state();
    let division = &state.services[&name::<ServiceName>("tilecast")];
    let (slot, base) = (division.next_split(), division.owner(SlotId(3)).expect("an owner").epoch);
    let (service, key) = (name("tilecast"), KeyHash(3));
    append(&mut state, Record::Split { service, key, slot, base });
    let division = &state.services[&name::<ServiceName>("tilecast")];
    let [split] = &splits(division)[..] else { panic!("one key is split out") };
    assert_eq!((split.parent, split.slot, split.owner.as_str()), (SlotId(3), SlotId(8), "t1"));
    let view = tilecast(&state, 0, Some(NOW));
    let slots = &view.servers[&name::<ServerId>("t1")].slots;
    assert_eq!((slots[&SlotId(8)].since, slots[&SlotId(3)].since), (None, Some(at(NOW))));
}

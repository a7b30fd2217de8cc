use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_placement::{
    Policy, View,
    hot::{Action, Cooling, Keys, Options, Owned, Sketch, Split, plan},
    view::Load,
};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, at, name, server, view};

const SLOTS: u32 = 8;
const SECOND: Duration = Duration::from_secs(1);

/// A key of slot 3.
const KEY: KeyHash = KeyHash(3);

fn policy() -> Policy {
    let hot = Options {
        split_above: 0.2,
        merge_below: 0.1,
        cool_for: Duration::from_secs(60),
        max_split: 2,
    };
    Policy { hot, ..Policy::default() }
}

/// Server 0 owns slot 3, and slot 100 with this load.
fn owner(split_load: f64) -> View {
    let (id, mut s0) = server(0, &[1.0]);
    let mut slot = s0.slots[&SlotId(0)];
    s0.slots.insert(SlotId(3), slot);
    slot.load = Load(split_load);
    s0.slots.insert(SlotId(100), slot);
    view([(id, s0), server(1, &[])])
}

fn actions(
    view: &View,
    sketch: &Sketch,
    splits: &[Split],
    cooling: &mut Cooling,
    second: u64,
) -> Vec<Action> {
    let server = name("s0");
    let owned = Owned { server: &server, sketch, window: SECOND * 10 };
    plan(&owned, &Keys { slots: SLOTS, splits }, view, &policy(), cooling, at(second))
}

fn split(parent_owner: &str) -> Split {
    let (owner, parent_owner) = (name("s0"), name(parent_owner));
    Split { key: KEY, slot: SlotId(100), owner, parent: SlotId(3), parent_owner }
}

#[test]
fn key_is_split_out_above_its_share() {
    // 0.2 of a capacity of 3 within 10 s are 6 s.
    let mut sketch = Sketch::new(8);
    sketch.record(KEY, SECOND * 6);
    let mut cooling = Cooling::default();
    assert_eq!(actions(&owner(0.0), &sketch, &[], &mut cooling, NOW), []);
    sketch.record(KEY, SECOND);
    let action = Action::Split { key: KEY, parent: SlotId(3), owner: name("s0") };
    assert_eq!(actions(&owner(0.0), &sketch, &[], &mut cooling, NOW), [action]);
    let splits = [split("s0")];
    assert_eq!(actions(&owner(1.0), &sketch, &splits, &mut cooling, NOW), []);
}

#[test]
fn overestimated_key_is_not_split_out() {
    // The sketch has fewer counters than there are keys, so a new key takes over the time of the
    // lightest one. Taken at its word it would have a slot of its own for nothing. Only time that
    // is certainly the key's own counts.
    let mut sketch = Sketch::new(1);
    sketch.record(KeyHash(8), SECOND * 9);
    sketch.record(KEY, SECOND);
    assert_eq!(sketch.heaviest().next().map(|heavy| heavy.at_most), Some(SECOND * 10));
    assert_eq!(actions(&owner(0.0), &sketch, &[], &mut Cooling::default(), NOW), []);
}

#[test]
fn slot_that_moved_of_late_is_not_split() {
    let mut sketch = Sketch::new(8);
    sketch.record(KEY, SECOND * 9);
    let mut view = owner(0.0);
    let s0 = view.servers.get_mut(&name::<ServerId>("s0")).expect("it is there");
    s0.slots.values_mut().for_each(|slot| slot.since = Some(at(NOW - 1)));
    assert_eq!(actions(&view, &sketch, &[], &mut Cooling::default(), NOW), []);
}

#[test]
fn splits_are_bounded() {
    let mut sketch = Sketch::new(8);
    (0..4).for_each(|i| sketch.record(KeyHash(3 + i * u64::from(SLOTS)), SECOND * 9));
    let actions = actions(&owner(0.0), &sketch, &[], &mut Cooling::default(), NOW);
    assert_eq!(actions.len(), 2);
}

#[test]
fn key_goes_back_once_it_has_been_cool_for_long() {
    // A key whose load swings around the threshold would be split and merged in turn, each time at
    // the price of a record. It goes back only after it stayed below a lower threshold; a warm
    // moment starts the time anew.
    let (sketch, mut cooling) = (Sketch::new(8), Cooling::default());
    let mut at_load =
        |load, second| actions(&owner(load), &sketch, &[split("s0")], &mut cooling, NOW + second);
    assert_eq!(at_load(0.2, 0), []);
    assert_eq!(at_load(0.4, 50), []);
    assert_eq!(at_load(0.2, 70), []);
    assert_eq!(at_load(0.2, 129), []);
    let merge = Action::Merge { key: KEY, slot: SlotId(100), parent: SlotId(3) };
    assert_eq!(at_load(0.2, 130), [merge]);
}

#[test]
fn cooled_key_first_moves_to_the_owner_of_its_slot() {
    let (sketch, mut cooling) = (Sketch::new(8), Cooling::default());
    let splits = [split("s1")];
    assert_eq!(actions(&owner(0.1), &sketch, &splits, &mut cooling, NOW), []);
    let actions = actions(&owner(0.1), &sketch, &splits, &mut cooling, NOW + 60);
    let [Action::MoveBack(planned)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(
        planned.to_string(),
        "slot 100 (load 0.100) from s0 (left 0.900) to s1: the split-out key cooled down"
    );
}

#[test]
fn sketch_keeps_its_bounds() {
    arbtest::arbtest(|u| {
        let capacity = u.int_in_range(1..=8)?;
        let (mut sketch, mut exact) = (Sketch::new(capacity), BTreeMap::<u64, u64>::new());
        let mut total = 0;
        while !u.is_empty() {
            let (key, busy) = (u.int_in_range(0..=20)?, u.int_in_range(1..=1000)?);
            sketch.record(KeyHash(key), Duration::from_micros(busy));
            *exact.entry(key).or_default() += busy;
            total += busy;
        }
        assert!(sketch.len() <= capacity);
        let counted: BTreeMap<u64, _> =
            sketch.heaviest().map(|heavy| (heavy.key.0, heavy)).collect();
        for (key, busy) in exact {
            match counted.get(&key) {
                Some(heavy) => {
                    assert!(heavy.at_least <= Duration::from_micros(busy));
                    assert!(Duration::from_micros(busy) <= heavy.at_most);
                }
                None => assert!(busy <= total / capacity as u64),
            }
        }
        Ok(())
    });
}

//! What holds whatever is appended: random records, some of them based on an old state.

use arbtest::arbitrary::{Result, Unstructured};
use jacinthbeam_state::{Change, Outcome, Record, State};
use jacinthbeam_types::prelude::*;

use crate::{load::load, snapshot::small_parts, support::*};

const SERVERS: [&str; 5] = ["t1", "t2", "t3", "t4", "b1"];
const KEYS: [u64; 3] = [16, 17, 24];
const STEPS: usize = 60;
const TILECAST: &str = "tilecast";
/// Random bytes of one run: enough for all its steps.
const SIZE: u32 = 3000;
/// Time for the runs of one property.
const BUDGET_MS: u64 = 500;

/// A record that an author with this state may append.
fn record(u: &mut Unstructured<'_>, state: &State) -> Result<Record> {
    let server = *u.choose(&SERVERS)?;
    let other = *u.choose(&SERVERS)?;
    let slots = slots(u)?;
    let lives: Vec<u64> = (101..=105).filter(|_| u.ratio(3, 4).unwrap_or(false)).collect();
    let divided = state.services.contains_key(&name::<ServiceName>(TILECAST));
    let kind = if divided { u.int_in_range(1..=10)? } else { u.int_in_range(0..=2)? };
    Ok(match kind {
        0 => found(TILECAST, 8, &[(server, u.int_in_range(0..=8)?)]),
        1 => join(state, server, TILECAST, u.int_in_range(1..=4)?),
        2 => witnesses(state, lives.into_iter(), &[101, 102, 103]),
        3 => shift(state, &slots, owner_or(state, &slots, server), other),
        4 => release(state, &slots, owner_or(state, &slots, server)),
        5 => reassign(state, &slots, owner_or(state, &slots, server)),
        6 => {
            let to: Vec<_> = slots.iter().map(|slot| (*slot, other)).collect();
            evict(state, server, &lives, &to)
        }
        7 => keep(state, server),
        8 => leave(state, server),
        9 => split(state, *u.choose(&KEYS)?),
        _ => merge(state, *u.choose(&KEYS)?),
    })
}

fn slots(u: &mut Unstructured<'_>) -> Result<Vec<u32>> {
    let len = u.int_in_range(1..=4)?;
    (0..len).map(|_| u.int_in_range(0..=10)).collect()
}

/// The owner of the first slot, so that many records fit.
fn owner_or<'a>(state: &State, slots: &[u32], server: &'a str) -> &'a str {
    let owner = state.owner(&name(TILECAST), SlotId(slots[0])).map(|owner| owner.server);
    SERVERS.into_iter().find(|known| owner == Some(name(known))).unwrap_or(server)
}

/// Appends random records and calls `check` with the state before and after each.
fn run(
    u: &mut Unstructured<'_>,
    mut check: impl FnMut(&State, &State, &Outcome),
) -> Result<Session> {
    let mut session = if u.ratio(3, 4)? { Session::divided() } else { Session::configured() };
    let mut authors = vec![session.state.clone()];
    for step in 0..STEPS {
        let author =
            if u.ratio(1, 5)? { u.choose(&authors)?.clone() } else { session.state.clone() };
        let record = if step == 20 {
            session.publish("10-services.json", Some("{}"));
            authors.push(session.state.clone());
            continue;
        } else if step == 25 {
            session.publish("10-services.json", Some(CONFIG));
            authors.push(session.state.clone());
            continue;
        } else {
            record(u, &author)?
        };
        let before = session.state.clone();
        let outcome = session.append("random", record);
        check(&before, &session.state, &outcome);
        authors.push(session.state.clone());
    }
    Ok(session)
}

// Owner tables and the servers' own lists must say the same: an attendant grants by the list, an
// entry host routes by the table. A slot in two lists would be served twice.
#[test]
fn each_slot_has_at_most_one_owner_and_it_is_active() {
    let property = |u: &mut Unstructured<'_>| {
        run(u, |_, state, _| check_lists(state))?;
        Ok(())
    };
    arbtest::arbtest(property).size_min(SIZE).budget_ms(BUDGET_MS);
}

#[test]
fn epochs_only_grow_and_a_slot_changes_owner_only_with_its_epoch() {
    let property = |u: &mut Unstructured<'_>| {
        let service = name(TILECAST);
        run(u, |before, after, _| {
            for slot in (0..12).map(SlotId) {
                let old = before.services.get(&service).and_then(|division| division.slot(slot));
                let new = after.services.get(&service).and_then(|division| division.slot(slot));
                let Some((old, new)) = old.zip(new) else { continue };
                assert!(old.epoch <= new.epoch);
                assert!(old.server == new.server || old.epoch < new.epoch);
                assert!(old.lapse <= new.lapse);
            }
            for (id, new) in after.servers.iter() {
                let Some(old) = before.servers.get(id) else { continue };
                assert!(old.epoch <= new.epoch);
                assert!(old.status == new.status || old.epoch < new.epoch);
            }
        })?;
        Ok(())
    };
    arbtest::arbtest(property).size_min(SIZE).budget_ms(BUDGET_MS);
}

// A void record changes nothing, and an applied one changes what it says and nothing else.
#[test]
fn owners_change_exactly_as_outcomes_say() {
    let property = |u: &mut Unstructured<'_>| {
        run(u, |before, after, outcome| {
            let mut expected = owners(before);
            for change in outcome.changes() {
                match change {
                    Change::Slots { slots, from, to, .. } => {
                        for slot in slots {
                            let slot = (name(TILECAST), *slot);
                            assert_eq!(expected.remove(&slot), *from);
                            expected.extend(to.clone().map(|to| (slot, to)));
                        }
                    }
                    Change::Split { slot, server, .. } => {
                        expected.insert((name(TILECAST), *slot), server.clone());
                    }
                    Change::Merged { key, .. } => {
                        let own = before.services[&name::<ServiceName>(TILECAST)].slot_of(*key);
                        assert!(expected.remove(&(name(TILECAST), own)).is_some());
                    }
                    Change::Founded { .. } => expected = owners(after),
                    _ => {}
                }
            }
            assert_eq!(owners(after), expected);
        })?;
        Ok(())
    };
    arbtest::arbtest(property).size_min(SIZE).budget_ms(BUDGET_MS);
}

// Hosts keep nothing. One reads the stream from its start, one from a snapshot after the first
// records expired, one is given the state by a peer. All must know the same owners, and each
// acknowledged one.
#[test]
fn readers_agree_wherever_they_start() {
    let property = |u: &mut Unstructured<'_>| {
        let mut session = run(u, |_, _, _| {})?;
        let at = session.log.len();
        let early = u.int_in_range(1..=at)?;
        let mut parts = small_parts(&session.state, u.int_in_range(200..=2000)?);
        let from_peer = session.state.encode().expect("a small state");
        let mut from_peer = State::decode(session.state.next, &from_peer).expect("just written");
        while let Some(part) = parts.pop() {
            session.append("snapshot", Record::Snapshot(part));
            let record = record(u, &session.state)?;
            session.append("random", record);
        }
        for (offset, buf) in session.log.iter().enumerate().skip(at) {
            from_peer.apply_bytes(Offset(offset as u64), buf).expect("no gap");
        }
        assert_eq!(from_peer, session.state);
        for from in [0, early, at] {
            let state = load(&session.log, from).expect("no gap").expect("a snapshot");
            assert_eq!(state, session.state);
            assert_eq!(state.encode(), session.state.encode());
        }
        Ok(())
    };
    arbtest::arbtest(property).size_min(SIZE).budget_ms(BUDGET_MS);
}

//! Proof times and promises. The fold is that of the fake: hosts a, b, c, d with lives 100 to 103
//! are witnesses.

use std::time::{Duration, Instant};

use jacinthbeam_config::CutOff;
use jacinthbeam_lease::{Probe, Probed, Proofs, Witness};
use jacinthbeam_state::State;
use jacinthbeam_types::prelude::*;

use crate::support::{World, name};

fn fold() -> State {
    World::new(4, 3, "", 1).state
}

fn witness(incarnation: u64) -> Witness {
    Witness::new(Incarnation(incarnation), name("kamloops-a"))
}

fn probe(state: &State) -> Probe {
    let server: ServerId = name("s1");
    let server_epoch = state.servers.get(&server).expect("a server").epoch;
    Probe { server, server_epoch, witness_epoch: state.cells[&name("kamloops-a")].epoch }
}

#[test]
fn the_proof_is_the_word_of_a_majority_of_the_witnesses() {
    let (state, start, server) = (fold(), Instant::now(), name("s1"));
    let (own, mut proofs) = (witness(100), Proofs::new());
    let now = start + Duration::from_secs(9);
    let proof = |proofs: &Proofs, cut_off| proofs.proof(now, &state, &server, cut_off, &own);
    assert_eq!(proof(&proofs, CutOff::Hold), None);
    for (at, incarnation) in [(1, 101), (3, 7)] {
        let vouch = witness(incarnation.min(103)).vouch(&state);
        let vouch = vouch.or_else(|| witness(103).vouch(&state)).expect("a witness");
        proofs.vouched(Incarnation(incarnation), start + Duration::from_secs(at), vouch);
    }
    assert_eq!(proof(&proofs, CutOff::Hold), None, "two of four, and one that is no witness");
    let vouch = witness(102).vouch(&state).expect("a witness");
    proofs.vouched(Incarnation(102), start + Duration::from_secs(2), vouch);
    assert_eq!(proof(&proofs, CutOff::Hold), Some(start + Duration::from_secs(1)));
    assert_eq!(proof(&proofs, CutOff::Yield), None);
    proofs.log_read(start + Duration::from_secs(4), state.next);
    assert_eq!(proof(&proofs, CutOff::Yield), Some(start + Duration::from_secs(4)));
}

/// A witness promised silence and has read the eviction since, so its promise has ended and it vouches for
/// all again. A host that has not read the eviction must not take that word for the evicted server.
#[test]
fn the_word_of_a_witness_that_has_read_more_does_not_count() {
    let (state, now) = (fold(), Instant::now());
    let mut ahead = state.clone();
    ahead.next = state.next.next();
    let mut proofs = Proofs::new();
    for incarnation in [101, 102] {
        let vouch = witness(incarnation).vouch(&ahead).expect("a witness");
        proofs.vouched(Incarnation(incarnation), now, vouch);
    }
    let own = witness(100);
    assert_eq!(proofs.proof(now, &state, &name("s1"), CutOff::Hold, &own), None);
    assert_eq!(proofs.proof(now, &ahead, &name("s1"), CutOff::Hold, &own), Some(now));
    proofs.log_read(now, ahead.next);
    assert_eq!(proofs.log(&state), None);
}

#[test]
fn a_promise_silences_one_server_under_its_epochs_only() {
    let state = fold();
    let (set, probe) = (state.cells[&name("kamloops-a")].clone(), probe(&state));
    let mut own = witness(100);
    let other = Probe { witness_epoch: Probe::NO_PROMISE, ..probe.clone() };
    assert_eq!(own.probed(&other, false, &state), Probed::NotReached);
    assert_eq!(own.probed(&probe, true, &state), Probed::Reached);
    assert_eq!(witness(7).probed(&probe, false, &state), Probed::NotReached);
    assert!(own.promises().is_empty());
    assert_eq!(own.probed(&probe, false, &state), Probed::Promised);
    let vouch = own.vouch(&state).expect("a witness");
    assert!(!vouch.holds(&state, &set, &name("s1")) && vouch.holds(&state, &set, &name("s2")));
    assert!(Proofs::new().promised(&state, &name("s1"), &own));
}

/// A member that agreed to be replaced vouches for nobody under the old set, else stale members could go on
/// vouching for each other.
#[test]
fn a_retired_witness_is_silent() {
    let state = fold();
    let epoch = state.cells[&name("kamloops-a")].epoch;
    let mut own = witness(100);
    assert!(!own.retire(Epoch(99), &state) && own.vouch(&state).is_some());
    assert!(own.retire(epoch, &state) && own.vouch(&state).is_none());
    assert!(!witness(7).retire(epoch, &state));
}

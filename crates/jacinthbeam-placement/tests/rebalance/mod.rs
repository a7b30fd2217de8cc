use std::{fmt::Write, time::Duration};

use jacinthbeam_placement::{
    Policy, Progress,
    policy::{Kind, Weights},
    rebalance,
    view::{Load, Standing},
};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, Service, at, eager, name, other, rng, server, text, view};

/// Server 0 carries too much, the others too little; the host attends 0 and 1.
fn uneven() -> jacinthbeam_placement::View {
    let s0 = [0.5, 0.4, 0.3, 0.2, 0.2, 0.1, 0.1];
    view([server(0, &s0), server(1, &[0.5, 0.4]), other(2, 0.8), other(3, 1.0)])
}

#[test]
fn each_policy_relieves_in_its_own_way() {
    let mut session = String::new();
    for kind in [Kind::Static, Kind::Threshold, Kind::TwoChoices, Kind::IdleInitiated] {
        let policy = Policy { kind, ..eager() };
        let (view, mut rng, progress) = (uneven(), rng(), Progress::default());
        let asks =
            [rebalance::Ask { to: name("s2"), load: Load(0.8), room: Load(0.4), from: name("s0") }];
        let moves = rebalance(&view, &asks, &policy, &progress, at(NOW), &mut rng);
        write!(session, "{kind:?}\n{}", text(&moves)).expect("a string takes any text");
    }
    insta::assert_snapshot!(session);
}

#[test]
fn churn_has_its_price() {
    // The heavier a change of ownership weighs, the fewer and heavier slots are moved.
    let moves = |churn| {
        let weights = Weights { unavailable: 1.0, churn };
        let policy = Policy { weights, horizon: Duration::from_secs(300), ..eager() };
        rebalance(&uneven(), &[], &policy, &Progress::default(), at(NOW), &mut rng())
    };
    let least = |churn| moves(churn).iter().map(|m| m.load.0).fold(f64::INFINITY, f64::min);
    assert!(moves(0.0).len() > moves(60.0).len());
    assert!(least(60.0) > least(0.0));
    assert_eq!(moves(1e9), []);
}

#[test]
fn stale_measurements_draw_no_slots() {
    // A server fills up, but the sample of it is a minute old and says that it is idle. Slots moved
    // there would overload it. Measurements older than the limit are ignored, so nothing is left to
    // give to.
    let mut view = view([server(0, &[0.5; 4]), other(1, 0.1)]);
    view.servers.get_mut(&name::<ServerId>("s1")).expect("it is there").measured =
        Some(at(NOW - 60));
    let progress = Progress::default();
    assert_eq!(rebalance(&view, &[], &eager(), &progress, at(NOW), &mut rng()), []);
}

#[test]
fn slot_that_moved_of_late_stays() {
    let mut view = view([server(0, &[0.1; 20]), other(1, 0.1)]);
    let policy = Policy { min_age: Duration::from_secs(60), ..eager() };
    let s0 = view.servers.get_mut(&name::<ServerId>("s0")).expect("it is there");
    s0.slots.values_mut().for_each(|slot| slot.since = Some(at(NOW - 59)));
    let moves =
        |second| rebalance(&view, &[], &policy, &Progress::default(), at(second), &mut rng()).len();
    assert_eq!(moves(NOW), 0);
    assert!(moves(NOW + 1) > 0);
}

#[test]
fn cold_server_is_not_filled_beyond_its_warmth() {
    let mut view = view([server(0, &[0.1; 30]), other(1, 1.0), other(2, 0.0)]);
    let policy = Policy { warm_up: Duration::from_secs(30), ..eager() };
    view.servers.get_mut(&name::<ServerId>("s1")).expect("it is there").standing =
        Standing::Draining;
    view.servers.get_mut(&name::<ServerId>("s2")).expect("it is there").standing =
        Standing::Cold { since: at(NOW - 10) };
    let moves = rebalance(&view, &[], &policy, &Progress::default(), at(NOW), &mut rng());
    let given: f64 = moves.iter().map(|planned| planned.load.0).sum();
    assert!(moves.iter().all(|planned| planned.to.as_str() == "s2"));
    assert!(given > 0.3 && given <= 0.5, "a third of the mean of 1.5, got {given}");
}

#[test]
fn two_hot_keys_at_one_server_are_parted() {
    // Two keys get hot at the same server, which has little else to give away. Neither fits
    // anywhere, since all other servers carry their share of light slots, and callers of both keys
    // would wait for as long as they are hot. One is moved all the same to a server that can give
    // light slots away, which then does.
    for kind in [Kind::Threshold, Kind::TwoChoices] {
        let light = [0.02; 50];
        let servers =
            (0..6).map(|i| server(i, if i == 0 { &[0.9, 0.5, 0.02][..] } else { &light }));
        let policy = Policy { kind, ..eager() };
        let (view, progress) = (view(servers), Progress::default());
        let mut service = Service { view, policy, progress, rng: rng() };
        assert!(service.imbalance() > 1.3);
        (NOW..NOW + 60).for_each(|second| drop(service.step(second)));
        assert!(service.imbalance() < 1.16, "{kind:?}: {}", service.imbalance());
    }
}

#[test]
fn ask_of_a_server_that_leaves_by_now_gets_nothing() {
    // An idle server asks for load and is told to leave a moment later. Slots sent there would have
    // to move again at once. The host that is asked looks at the standing it knows now and not at
    // the ask.
    let mut view = uneven();
    let ask = rebalance::Ask { to: name("s2"), load: Load(0.8), room: Load(0.4), from: name("s0") };
    let policy = Policy { kind: Kind::IdleInitiated, ..eager() };
    let moves = |view: &jacinthbeam_placement::View| {
        let asks = std::slice::from_ref(&ask);
        rebalance(view, asks, &policy, &Progress::default(), at(NOW), &mut rng()).len()
    };
    assert_eq!(moves(&view), 1);
    view.servers.get_mut(&ask.to).expect("it is there").standing = Standing::Draining;
    assert_eq!(moves(&view), 0);
}

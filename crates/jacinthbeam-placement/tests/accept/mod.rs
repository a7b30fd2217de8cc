use jacinthbeam_placement::{
    PlannedMove, Policy, Progress, Why,
    accept::{Answer, accept},
    policy::Pace,
    view::{Load, Standing},
};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, at, eager, name, other, server, view};

fn offer(slot: u32, load: f64) -> PlannedMove {
    let (from, to, why) = (name("s1"), name("s0"), Why::Overloaded);
    PlannedMove { slot: SlotId(slot), from, to, load: Load(load), left: Load(1.0), heavy: 0, why }
}

#[test]
fn second_host_that_picks_the_same_idle_server_is_declined() {
    // Two hosts see the same idle server in their samples and each plans to fill it up, at the same
    // moment. Callers would meet a server with twice the load it should have. Its attendant accepts
    // the first offer, counts it at once, and declines the second, whose host looks for another
    // server.
    let mut view = view([server(0, &[0.2]), other(1, 1.6), other(2, 1.2)]);
    let policy = eager();
    let mut progress = Progress::default();
    let first = offer(1, 0.7);
    assert_eq!(accept(&first, &view, &policy, &progress, at(NOW)), Answer::Accepted);
    progress.accept(&first);
    progress.add_pending(&mut view, &policy, at(NOW));
    assert_eq!(accept(&offer(2, 0.7), &view, &policy, &progress, at(NOW)), Answer::NoRoom);
}

#[test]
fn moves_towards_one_server_are_bounded() {
    let view = view([server(0, &[0.2]), other(1, 1.6)]);
    let policy = Policy { pace: Pace { to_one_server: 1, ..eager().pace }, ..eager() };
    let mut progress = Progress::default();
    progress.accept(&offer(1, 0.01));
    assert_eq!(accept(&offer(2, 0.01), &view, &policy, &progress, at(NOW)), Answer::Busy);
}

#[test]
fn only_an_active_attended_server_accepts() {
    let progress = Progress::default();
    let answer = |standing, attended| {
        let (id, mut s0) = server(0, &[]);
        (s0.standing, s0.attended) = (standing, attended);
        accept(&offer(1, 0.1), &view([(id, s0), other(1, 1.0)]), &eager(), &progress, at(NOW))
    };
    assert_eq!(answer(Standing::Active, true), Answer::Accepted);
    assert_eq!(answer(Standing::Active, false), Answer::NotHere);
    assert_eq!(answer(Standing::Draining, true), Answer::NotHere);
    assert_eq!(answer(Standing::Gone, true), Answer::NotHere);
}

#[test]
fn heavy_slot_goes_only_where_there_are_fewer() {
    let view = view([server(0, &[0.4]), other(1, 2.0), other(2, 1.0)]);
    let (policy, progress) = (eager(), Progress::default());
    let answer =
        |heavy| accept(&PlannedMove { heavy, ..offer(1, 0.4) }, &view, &policy, &progress, at(NOW));
    assert_eq!(answer(1), Answer::Crowded);
    assert_eq!(answer(2), Answer::Accepted);
}

#[test]
fn server_with_as_many_hot_keys_takes_no_other_in_exchange() {
    // A server with two heavy slots offers one to a server that has one itself. Taken, the load
    // would only be crowded there instead, and come back: the same two slots would move for ever.
    // It takes two fewer heavy slots.
    let light_and_one_heavy: Vec<f64> = [0.4].into_iter().chain([0.02; 60]).collect();
    let view = view([server(0, &light_and_one_heavy), other(1, 2.0), other(2, 1.6)]);
    let answer = |heavy| {
        let planned = PlannedMove { heavy, why: Why::Crowded, ..offer(1, 0.4) };
        accept(&planned, &view, &eager(), &Progress::default(), at(NOW))
    };
    assert_eq!(answer(2), Answer::NoRoom);
    assert_eq!(answer(3), Answer::Accepted);
}

use std::time::Duration;

use jacinthbeam_placement::{
    Policy, Progress, joined,
    policy::Pace,
    view::{Load, Standing},
};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, Service, at, eager, name, rng, server, text, view};

#[test]
fn new_server_is_filled_as_it_warms_up() {
    // A server that has just started answers slowly until its caches are warm. Given its whole
    // share at once, it would queue requests and refuse some. It gets a fifth of the mean at first,
    // and more as the warm-up goes on.
    let loads = [0.02; 100];
    let mut service = Service {
        view: view((0..=10).map(|i| server(i, if i == 10 { &[][..] } else { &loads }))),
        policy: Policy { warm_up: Duration::from_secs(30), ..eager() },
        progress: Progress::default(),
        rng: rng(),
    };
    let new: ServerId = name("s10");
    service.view.servers.get_mut(&new).expect("it is there").standing =
        Standing::Cold { since: at(NOW) };
    let mut lines = String::new();
    for second in (NOW..NOW + 40).step_by(5) {
        for _ in 0..5 {
            service.view.servers.values_mut().for_each(|s| s.measured = Some(at(second)));
            let (view, progress) = (&service.view, Progress::default());
            let moves =
                joined(view, &new, &service.policy, &progress, at(second), &mut service.rng);
            for planned in moves {
                let from = service.view.servers.get_mut(&planned.from).expect("it is there");
                let slot = from.slots.remove(&planned.slot).expect("its slot");
                from.load -= slot.load;
                let to = service.view.servers.get_mut(&new).expect("it is there");
                to.load += slot.load;
                to.slots.insert(planned.slot, slot);
            }
        }
        let part = service.view.servers[&new].load.0 / (20.0 / 11.0);
        lines += &format!("{:2} s: {:.2} of the mean\n", second - NOW, part);
    }
    insta::assert_snapshot!(lines);
    assert!(service.imbalance() < 1.1);
}

#[test]
fn new_server_is_filled_at_the_pace() {
    let pace = Pace { per_second: Rate(1.0), burst: 3, in_progress: 9, to_one_server: 9 };
    let policy = Policy { pace, ..eager() };
    let view = view([server(0, &[0.02; 100]), server(1, &[0.02; 100]), server(2, &[])]);
    let (progress, mut rng) = (Progress::default(), rng());
    let moves = joined(&view, &name("s2"), &policy, &progress, at(NOW), &mut rng);
    insta::assert_snapshot!(text(&moves));
}

#[test]
fn server_that_left_again_gets_nothing() {
    let mut view = view([server(0, &[0.02; 100]), server(1, &[])]);
    let new: ServerId = name("s1");
    let (progress, mut rng) = (Progress::default(), rng());
    view.servers.get_mut(&new).expect("it is there").standing = Standing::Gone;
    assert_eq!(joined(&view, &new, &eager(), &progress, at(NOW), &mut rng), []);
    assert_eq!(view.servers[&new].load, Load(0.0));
}

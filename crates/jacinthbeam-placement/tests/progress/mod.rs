use std::time::Duration;

use jacinthbeam_placement::{PlannedMove, Policy, Progress, Why, policy::Pace, view::Load};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, at, name, server, view};

fn planned(slot: u32) -> PlannedMove {
    let (from, to) = (name("s0"), name("s1"));
    let (load, left, why) = (Load(0.4), Load(1.0), Why::Overloaded);
    PlannedMove { slot: SlotId(slot), from, to, load, left, heavy: 0, why }
}

#[test]
fn pace_is_never_exceeded() {
    arbtest::arbtest(|u| {
        let rate = f64::from(u.int_in_range(1..=40)?) / 10.0;
        let (burst, in_progress) = (u.int_in_range(0..=6)?, u.int_in_range(1..=5)?);
        let pace = Pace { per_second: Rate(rate), burst, in_progress, to_one_server: 9 };
        let (mut progress, mut begun, mut running, mut now) =
            (Progress::default(), Vec::new(), Vec::new(), at(0));
        for slot in 0..60 {
            now += Duration::from_millis(u.int_in_range(0..=700)?);
            if progress.allowance(&pace, now) > 0 {
                progress.begin(&planned(slot), &pace, now);
                begun.push(now);
                running.push(slot);
            }
            assert!(running.len() <= in_progress);
            if u.arbitrary()?
                && let Some(slot) = running.pop()
            {
                progress.end(SlotId(slot), true, now);
            }
        }
        for (i, first) in begun.iter().enumerate() {
            for (j, last) in begun.iter().enumerate().skip(i) {
                let most = burst.max(1) as f64 + rate * (*last - *first).as_secs_f64() + 1e-6;
                assert!((j - i + 1) as f64 <= most);
            }
        }
        Ok(())
    });
}

#[test]
fn measurement_made_during_a_move_does_not_relieve_a_server_twice() {
    // Load is the mean of ten seconds, so it still shows a slot that has just moved away. A host
    // that took it at its word would go on moving slots for ten seconds and empty the server. What
    // was moved is therefore subtracted, less and less as the window of measurement passes over the
    // end of the move.
    let policy = Policy { window: Duration::from_secs(10), ..Policy::default() };
    let mut progress = Progress::default();
    let expected = |progress: &mut Progress, second| {
        let mut view = view([server(0, &[2.0]), server(1, &[0.5])]);
        view.servers.values_mut().for_each(|server| server.measured = Some(at(second)));
        progress.add_pending(&mut view, &policy, at(second));
        let loads: Vec<_> = view.servers.values().map(|s| s.expected().to_string()).collect();
        loads.join(" ")
    };
    assert_eq!(expected(&mut progress, NOW), "2.000 0.500");
    progress.begin(&planned(1), &policy.pace, at(NOW));
    assert_eq!(expected(&mut progress, NOW + 5), "1.600 0.900");
    progress.end(SlotId(1), true, at(NOW + 5));
    assert_eq!(expected(&mut progress, NOW + 10), "1.800 0.700");
    assert_eq!(expected(&mut progress, NOW + 15), "2.000 0.500");
}

#[test]
fn move_given_up_no_longer_counts() {
    let policy = Policy::default();
    let mut progress = Progress::default();
    progress.begin(&planned(1), &policy.pace, at(NOW));
    progress.end(SlotId(1), false, at(NOW));
    let mut view = view([server(0, &[2.0]), server(1, &[0.5])]);
    progress.add_pending(&mut view, &policy, at(NOW));
    assert!(view.servers.values().all(|server| server.pending == Load(0.0)));
    assert!(!progress.is_moving(SlotId(1)));
}

#[test]
fn accepted_move_counts_towards_its_server_but_not_the_pace() {
    let policy = Policy::default();
    let mut progress = Progress::default();
    let before = progress.allowance(&policy.pace, at(NOW));
    progress.accept(&planned(1));
    progress.accept(&planned(1));
    assert_eq!(progress.towards(&name("s1")), 1);
    assert_eq!(progress.allowance(&policy.pace, at(NOW)), before);
}

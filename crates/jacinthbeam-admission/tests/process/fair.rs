use std::collections::BTreeMap;

use jacinthbeam_admission::fair::{Share, Teams};
use jacinthbeam_types::prelude::*;

use crate::{check, service, team};

fn share(of: &str, at: &str) -> Share {
    Share { team: team(of), service: service(at) }
}

fn services() -> BTreeMap<ServiceName, TeamName> {
    [("tilecast", "roads"), ("brinedesk", "roads"), ("callbell", "crew")]
        .into_iter()
        .map(|(at, of)| (service(at), team(of)))
        .collect()
}

#[test]
fn a_service_in_overload_leaves_room_for_all_others() {
    // Dispatchers flood `tilecast`. It takes its own room and all that nobody is promised; callouts
    // on `callbell` still get in, and so do orders on `brinedesk`, which belongs to the same team
    // as the flood.
    let mut teams = Teams::new(40, &services(), &BTreeMap::new());
    let flood = (0..100).filter(|_| teams.enter(&share("roads", "tilecast")).is_ok()).count();
    assert_eq!(flood, 25);
    let callouts = (0..100).filter(|_| teams.enter(&share("crew", "callbell")).is_ok()).count();
    assert_eq!(callouts, 10);
    let orders = (0..100).filter(|_| teams.enter(&share("roads", "brinedesk")).is_ok()).count();
    assert_eq!(orders, 5);
    let refusal = teams.enter(&share("roads", "tilecast")).expect_err("all is full");
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Overloaded));
    assert!(refusal.retry_after.is_some());
    teams.leave(&share("crew", "callbell"));
    assert!(teams.enter(&share("roads", "tilecast")).is_err(), "the room is kept for callbell");
}

#[test]
fn a_share_below_its_guarantee_is_never_refused() {
    check(|u| {
        let capacity = u.int_in_range(8..=60)?;
        let weights = [(team("crew"), u.int_in_range(1..=5)?)].into_iter().collect();
        let mut teams = Teams::new(capacity, &services(), &weights);
        let shares =
            [share("roads", "tilecast"), share("roads", "brinedesk"), share("crew", "callbell")];
        let mut used = [0_u32; 3];
        let total = 1 + weights[&team("crew")];
        let crew = capacity / 2 * weights[&team("crew")] / total;
        let guaranteed = [capacity / 2 / total / 2, capacity / 2 / total / 2, crew];
        for _ in 0..200 {
            let at = u.choose_index(3)?;
            if u.ratio(1, 4)? && used[at] > 0 {
                teams.leave(&shares[at]);
                used[at] -= 1;
                continue;
            }
            match teams.enter(&shares[at]) {
                Ok(()) => used[at] += 1,
                Err(_) => assert!(used[at] >= guaranteed[at], "{used:?} {guaranteed:?}"),
            }
            assert!(teams.used() <= capacity);
            assert_eq!(teams.used(), used.iter().sum::<u32>());
        }
        Ok(())
    });
}

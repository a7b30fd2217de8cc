use std::collections::{BTreeMap, BTreeSet};

use jacinthbeam_placement::{
    Policy,
    evict::leave,
    evict_targets,
    view::{Load, Standing},
};
use jacinthbeam_types::prelude::*;

use crate::support::{name, other, rng, server, text, view};

fn slots(count: u32) -> BTreeMap<SlotId, Option<Load>> {
    (0..count).map(|slot| (SlotId(slot), Some(Load(0.02)))).collect()
}

#[test]
fn one_idle_server_does_not_get_everything() {
    // A server's measurement says that it is idle, since the one that measured it has just begun.
    // The slots of a lost server go to the least loaded ones, so all of them would land there and
    // overload it. The limit of twice the even share holds whatever the measurement says.
    let view = view([server(0, &[]), other(1, 0.0), other(2, 2.0), other(3, 2.0), other(4, 2.0)]);
    let targets = evict_targets(&view, &name("s0"), &slots(100), &Policy::default(), &mut rng());
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    targets.iter().for_each(|(_, to)| *counts.entry(to.as_str()).or_default() += 1);
    assert_eq!(targets.len(), 100);
    assert_eq!(counts["s1"], 50);
    assert!(counts.values().all(|count| *count <= 50));
}

#[test]
fn failure_domain_counts_only_if_configured() {
    // Servers 0 and 3 are in the same failure domain.
    let view = view([server(0, &[]), other(1, 0.1), other(2, 0.1), other(3, 0.1)]);
    let mut policy = Policy::default();
    let to = |policy: &Policy| -> BTreeSet<ServerId> {
        let targets = evict_targets(&view, &name("s0"), &slots(30), policy, &mut rng());
        targets.into_iter().map(|(_, to)| to).collect()
    };
    assert_eq!(to(&policy), ["s1", "s2", "s3"].map(name).into());
    policy.prefer_failure_domain = true;
    assert_eq!(to(&policy), [name("s3")].into());
}

#[test]
fn cold_server_gets_less() {
    let mut view = view([server(0, &[]), other(1, 0.0), other(2, 0.0)]);
    view.servers.get_mut(&name::<ServerId>("s2")).expect("it is there").standing =
        Standing::Cold { since: crate::support::at(0) };
    let targets = evict_targets(&view, &name("s0"), &slots(90), &Policy::default(), &mut rng());
    assert_eq!(targets.iter().filter(|(_, to)| to.as_str() == "s2").count(), 30);
}

#[test]
fn leaving_server_gives_all_slots_away_at_once() {
    let mut view = view([server(0, &[0.1, 0.3, 0.2]), other(1, 0.5), other(2, 0.5)]);
    view.servers.get_mut(&name::<ServerId>("s0")).expect("it is there").standing =
        Standing::Draining;
    let moves = leave(&view, &name("s0"), &Policy::default(), &mut rng());
    insta::assert_snapshot!(text(&moves));
}

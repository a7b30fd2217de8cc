//! Properties of every policy, over random services.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use arbtest::arbitrary::{Result, Unstructured};
use jacinthbeam_placement::{
    Policy, Progress, View, evict_targets, joined,
    policy::{Kind, Pace},
    rebalance,
    view::{Load, Standing},
};
use jacinthbeam_types::prelude::*;

use crate::support::{NOW, Service, at, eager, name, server, view};

const KINDS: [Kind; 4] = [Kind::Static, Kind::Threshold, Kind::TwoChoices, Kind::IdleInitiated];

fn any_view(u: &mut Unstructured<'_>) -> Result<View> {
    let mut servers = Vec::new();
    for number in 0..u.int_in_range(1..=8)? {
        let mut loads = Vec::new();
        for _ in 0..u.int_in_range(0..=12)? {
            loads.push(f64::from(u.int_in_range(0..=30)?) / 30.0);
        }
        let (id, mut server) = server(number, &loads);
        server.standing = match u.int_in_range(0..=5)? {
            0 => Standing::Draining,
            1 => Standing::Gone,
            2 => Standing::Cold { since: at(NOW - u.int_in_range(0..=40)?) },
            _ => Standing::Active,
        };
        server.attended = u.ratio(2, 3)?;
        for slot in server.slots.values_mut() {
            slot.since = Some(at(NOW - u.int_in_range(0..=100)?));
        }
        servers.push((id, server));
    }
    Ok(view(servers))
}

#[test]
fn moves_keep_to_standing_age_and_pace() {
    arbtest::arbtest(|u| {
        let view = any_view(u)?;
        let burst = u.int_in_range(1..=6)?;
        let pace = Pace { burst, per_second: Rate(1.0), in_progress: 5, to_one_server: 2 };
        let policy = Policy { kind: *u.choose(&KINDS)?, pace, ..Policy::default() };
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        let (now, progress) = (at(NOW), Progress::default());
        let asks = rebalance::ask(&view, &policy, now, &mut rng);
        let mut plans = vec![rebalance(&view, &asks, &policy, &progress, now, &mut rng)];
        for id in view.servers.keys() {
            plans.push(joined(&view, id, &policy, &progress, now, &mut rng));
        }
        for moves in plans {
            assert!(moves.len() <= progress.allowance(&pace, now));
            let slots: BTreeSet<_> = moves.iter().map(|planned| planned.slot).collect();
            assert_eq!(slots.len(), moves.len(), "a slot moves once");
            for planned in &moves {
                let (from, to) = (&view.servers[&planned.from], &view.servers[&planned.to]);
                assert!(to.standing.is_active() && from.attended && planned.from != planned.to);
                assert!(from.slots[&planned.slot].is_old(&policy, now));
                let towards = moves.iter().filter(|other| other.to == planned.to).count();
                assert!(towards <= pace.to_one_server);
            }
        }
        Ok(())
    });
}

#[test]
fn evicted_slots_are_covered_exactly_and_evenly() {
    arbtest::arbtest(|u| {
        let view = any_view(u)?;
        let mut slots = BTreeMap::new();
        for slot in 0..u.int_in_range(0..=200)? {
            let load = u.arbitrary::<Option<u8>>()?.map(|load| Load(f64::from(load) / 256.0));
            slots.insert(SlotId(slot), load);
        }
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        let lost: ServerId = name("s0");
        let targets = evict_targets(&view, &lost, &slots, &Policy::default(), &mut rng);
        let active = |id: &ServerId| *id != lost && view.servers[id].standing.is_active();
        let count = view.servers.keys().filter(|id| active(id)).count();
        let expected: Vec<_> = slots.keys().copied().filter(|_| count > 0).collect();
        assert_eq!(targets.iter().map(|(slot, _)| *slot).collect::<Vec<_>>(), expected);
        let mut given: BTreeMap<&ServerId, usize> = BTreeMap::new();
        targets.iter().for_each(|(_, to)| *given.entry(to).or_default() += 1);
        assert!(given.keys().all(|to| active(to)));
        assert!(given.values().all(|n| *n <= (2 * slots.len()).div_ceil(count)));
        Ok(())
    });
}

/// A service of active servers with slots of skewed loads.
fn any_service(u: &mut Unstructured<'_>, policy: Policy) -> Result<Service> {
    let skew = f64::from(u.int_in_range(0..=12)?) / 10.0;
    let count = u.int_in_range(2..=8)?;
    let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
    let mut loads: Vec<f64> = (1..=count * 20).map(|rank| f64::from(rank).powf(-skew)).collect();
    let unit = 1.8 * f64::from(count) / loads.iter().sum::<f64>();
    rng.shuffle(&mut loads);
    loads.iter_mut().for_each(|load| *load *= unit);
    let servers = loads.chunks(20).zip(0..).map(|(loads, number)| server(number, loads));
    Ok(Service { view: view(servers), policy, progress: Progress::default(), rng })
}

#[test]
fn moves_stop_under_constant_load() {
    // The least age is 0 here, so what stops the moves is that each of them lowers the imbalance.
    arbtest::arbtest(|u| {
        let policy = Policy { kind: *u.choose(&KINDS)?, ..eager() };
        let mut service = any_service(u, policy)?;
        (NOW..NOW + 150).for_each(|second| drop(service.step(second)));
        let late: usize = (NOW + 150..NOW + 200).map(|second| service.step(second).len()).sum();
        assert_eq!(late, 0, "{:?} goes on at {}", service.policy.kind, service.imbalance());
        let heaviest = service.view.servers.values().flat_map(|s| s.slots.values());
        let heaviest = heaviest.map(|slot| slot.load.0).fold(0.0, f64::max);
        let balances = matches!(service.policy.kind, Kind::Threshold | Kind::TwoChoices);
        if balances && heaviest < 0.1 * 1.8 {
            assert!(service.imbalance() <= 1.25, "settled at {}", service.imbalance());
        }
        Ok(())
    });
}

#[test]
fn no_slot_moves_twice_within_its_least_age() {
    arbtest::arbtest(|u| {
        let min_age = Duration::from_secs(20);
        let policy = Policy { kind: *u.choose(&KINDS)?, min_age, ..eager() };
        let mut service = any_service(u, policy)?;
        let mut last: BTreeMap<SlotId, u64> = BTreeMap::new();
        for second in NOW..NOW + 60 {
            for server in service.view.servers.values_mut() {
                let factor = service.rng.f64() * 2.0;
                server.slots.values_mut().for_each(|slot| slot.load = slot.load.times(factor));
                server.load = server.slots.values().map(|slot| slot.load).sum();
            }
            for planned in service.step(second) {
                let before = last.insert(planned.slot, second);
                assert!(before.is_none_or(|before| second - before >= 20));
            }
        }
        Ok(())
    });
}

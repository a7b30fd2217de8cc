//! Choice of the host that serves the requests of a partitioned one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::helper::{Candidate, Helpers, preference};
use jacinthbeam_types::prelude::*;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("h{n}").parse().unwrap()).collect()
}

/// The other hosts in the order of one host, in four failure domains.
fn ordered<'a>(me: &HostId, hosts: &'a [HostId]) -> Vec<Candidate<'a>> {
    let domain = |host: &HostId| hosts.iter().position(|other| other == host).unwrap() % 4;
    let own = domain(me);
    let others = hosts.iter().enumerate().filter(|(_, host)| *host != me);
    let mut others: Vec<_> =
        others.map(|(n, host)| (preference(me, host, n % 4 == own), host)).collect();
    others.sort();
    others.into_iter().map(|(_, host)| Candidate { host, processor: Millicores(200) }).collect()
}

#[test]
fn requests_are_spread_over_few_helpers() {
    let (hosts, mut helpers, now) = (hosts(984), Helpers::default(), Instant::now());
    let candidates = ordered(&hosts[0], &hosts);
    let mut used = BTreeMap::<HostId, usize>::new();
    for _ in 0..100 {
        let helper = helpers.choose(candidates.iter().copied(), now).unwrap();
        helpers.begin(helper);
        *used.entry(helper.clone()).or_default() += 1;
    }
    assert_eq!(used.values().copied().collect::<Vec<_>>(), [25; 4]);
}

/// Guards against all partitioned hosts sending to the same few helpers.
#[test]
fn helpers_are_shared_evenly_by_hosts() {
    for count in [12, 100, 984] {
        let (hosts, now) = (hosts(count), Instant::now());
        let mut load = BTreeMap::<HostId, f64>::new();
        // Two thirds of the hosts are partitioned; each sends one request a unit of time over its helpers.
        let is_cut = |host: &HostId| hosts.iter().position(|other| other == host).unwrap() % 3 > 0;
        for me in hosts.iter().filter(|host| is_cut(host)) {
            let mut helpers = Helpers::default();
            let candidates = ordered(me, &hosts);
            // The first requests find out which helpers are partitioned as well.
            while let Some(helper) = helpers.choose(candidates.iter().copied(), now)
                && is_cut(helper)
            {
                helpers.on_unavailable(helper, now);
            }
            let mut chosen = BTreeSet::new();
            for _ in 0..40 {
                let Some(helper) = helpers.choose(candidates.iter().copied(), now) else { break };
                if is_cut(helper) {
                    helpers.on_unavailable(helper, now);
                    continue;
                }
                helpers.begin(helper);
                chosen.insert(helper.clone());
            }
            let share = 1.0 / chosen.len() as f64;
            chosen.into_iter().for_each(|helper| *load.entry(helper).or_default() += share);
        }
        let most = load.values().fold(0.0, |most: f64, load| most.max(*load));
        assert!(
            most <= 8.0,
            "{count} hosts: a helper takes the requests of {most:.1} hosts, 2 on average"
        );
    }
}

/// Guards against a helper that declined or is down being asked by each request.
#[test]
fn an_unavailable_helper_is_left_out_for_a_while() {
    let (hosts, mut helpers, now) = (hosts(2), Helpers::default(), Instant::now());
    let candidates = ordered(&hosts[0], &hosts);
    let choose = |helpers: &Helpers, at| helpers.choose(candidates.iter().copied(), at).cloned();
    assert_eq!(choose(&helpers, now), Some(hosts[1].clone()));
    helpers.on_unavailable(&hosts[1], now);
    assert_eq!(choose(&helpers, now), None);
    assert_eq!(choose(&helpers, now + Duration::from_secs(2)), Some(hosts[1].clone()));
}

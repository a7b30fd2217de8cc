//! The requests that a whole fleet sends to cold servers in any second.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use arbtest::arbtest;
use jacinthbeam_dispatch::slow_start::{Bounds, Pacer, Share, is_sender};
use jacinthbeam_types::prelude::*;

const RATE: Rate = Rate(4400);
const SECOND: u64 = 1000;

/// A host and its list of the hosts in its failure domain.
struct Host {
    id: HostId,
    list: Vec<HostId>,
    pacers: BTreeMap<usize, Pacer>,
}

fn id(n: usize) -> HostId {
    format!("h{n}").parse().unwrap()
}

fn fleet(hosts: usize, list: impl Fn(usize) -> Vec<usize>) -> Vec<Host> {
    let host = |n| Host {
        id: id(n),
        list: list(n).into_iter().map(id).collect(),
        pacers: BTreeMap::new(),
    };
    (0..hosts).map(host).collect()
}

/// Simulates three seconds in which every host sends to every cold server as often as it may. Returns the maximum number of
/// requests that one server got in any second.
fn flood(fleet: &mut [Host], servers: usize, latency_ms: u64, rng: &mut fastrand::Rng) -> usize {
    let share = Share::of(RATE, &Bounds::default());
    let begun = Instant::now();
    let names: Vec<ServerId> = (0..servers).map(|n| format!("s{n}").parse().unwrap()).collect();
    let mut senders = Vec::new();
    for (n, host) in fleet.iter().enumerate() {
        for (server, name) in names.iter().enumerate() {
            if is_sender(name, &host.id, host.list.iter(), share.senders) {
                senders.push((n, server));
            }
        }
    }
    let mut arrivals = vec![Vec::new(); servers];
    for ms in (0..3 * SECOND).step_by(10) {
        let now = begun + Duration::from_millis(ms);
        for (n, server) in &senders {
            let pacer = fleet[*n].pacers.entry(*server).or_default();
            if pacer.may_send(now, share.spacing) {
                pacer.on_send(now);
                arrivals[*server].push(ms + rng.u64(0..=latency_ms));
            }
        }
    }
    arrivals.iter_mut().map(|times| most_in_a_second(times)).max().unwrap_or_default()
}

fn most_in_a_second(times: &mut [u64]) -> usize {
    times.sort_unstable();
    let in_second =
        |from: usize| times[from..].iter().filter(|t| **t < times[from] + SECOND).count();
    (0..times.len()).map(in_second).max().unwrap_or_default()
}

fn limit() -> usize {
    Bounds::default().max_per_second(RATE) as usize
}

/// Guards against a fleet that sends a cold server more than the limit, whatever its size.
#[test]
fn the_whole_fleet_stays_within_the_limit_of_a_hundred_cold_servers() {
    let mut rng = fastrand::Rng::with_seed(1);
    for (hosts, servers) in [(1, 100), (4, 100), (11, 100), (79, 100), (295, 10), (3000, 1)] {
        let mut fleet = fleet(hosts, |_| (0..hosts).collect());
        let most = flood(&mut fleet, servers, 100, &mut rng);
        assert!((1..=limit()).contains(&most), "{hosts} hosts: {most}");
    }
}

/// Guards against too many senders where hosts with an outdated host list select other senders than the rest.
#[test]
fn different_host_lists_stay_within_the_limit() {
    arbtest(|u| {
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        let hosts = *u.choose(&[4, 11, 79])?;
        let old = rng.usize(1..=hosts);
        let mut fleet =
            fleet(hosts, |n| if n < old { (0..old).collect() } else { (0..hosts).collect() });
        let most = flood(&mut fleet, 20, 50, &mut rng);
        assert!(most <= limit(), "{old} of {hosts} hosts with an old list: {most}");
        Ok(())
    })
    .budget_ms(1000);
}

/// Guards against a host that starts with an empty host list and considers itself the only sender.
#[test]
fn a_host_with_an_empty_host_list_sends_nothing() {
    let mut fleet = fleet(30, |_| Vec::new());
    assert_eq!(flood(&mut fleet, 5, 0, &mut fastrand::Rng::with_seed(1)), 0);
}

/// Guards against limits at which the selected senders alone exceed the rate, and against no sender at all.
#[test]
fn shares_follow_the_rate_and_the_limits() {
    let share = |rate, slack| Share::of(Rate(rate), &Bounds { overrun: 1.5, slack });
    assert_eq!(share(4400, 8.0), Share { senders: 3, spacing: Duration::from_millis(550) });
    let small = share(500, 0.0);
    assert_eq!((small.senders, small.spacing >= Duration::from_secs(1)), (1, true));
    assert!(share(0, 8.0).spacing > Duration::from_secs(3600), "only what its rate allows");
    assert!(share(1000, 100.0).spacing > Duration::from_secs(10));
}

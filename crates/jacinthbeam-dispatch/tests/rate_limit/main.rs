//! The requests that a whole fleet sends to a server that states a rate limit.

mod world;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::rate_limit::{Admission, KnownLimit, PermitIssuer, Statement, issuer};
use jacinthbeam_types::prelude::*;

use world::{OVERRUN, SLACK, WINDOW_MS, World, host_id, server};

fn allowed(rate: Rate) -> usize {
    (OVERRUN * rate.per_second() * WINDOW_MS as f64 / 1000.0 + SLACK) as usize
}

const SIZES: [usize; 3] = [12, 100, 984];

/// Limits in thousandths of a request per second, down to none at all.
const LIMITS: [Rate; 6] = [Rate(0), Rate(100), Rate(1000), Rate(2400), Rate(6200), Rate(50_000)];

/// Guards against a fleet that together exceeds a limit, however many hosts share it and whatever the limit is.
#[test]
fn calm_fleets_stay_within_the_limit() {
    for (hosts, rate) in SIZES.iter().flat_map(|hosts| LIMITS.map(|rate| (*hosts, rate))) {
        let mut world = World::new(hosts, u64::from(rate.0));
        world.play(0, 30_000, 200.0, |_| Some(rate));
        let most = world.most_in_a_window();
        assert!(most <= allowed(rate), "{hosts} hosts, {rate}: {most} in a window");
    }
}

/// Guards against a limit that is divided among hosts that mostly have no use for their part.
#[test]
fn what_is_allowed_is_used_by_the_hosts_that_need_it() {
    for hosts in SIZES {
        let mut world = World::new(hosts, 1);
        world.play(0, 10_000, 60.0, |_| Some(Rate(10_000)));
        world.served = 0;
        world.play(10_000, 40_000, 60.0, |_| Some(Rate(10_000)));
        assert!(world.served >= 240, "{hosts} hosts: {} of 300", world.served);
        let mut world = World::new(hosts, 2);
        world.play(0, 60_000, 1.0, |_| Some(Rate(10_000)));
        assert_eq!(world.refused, 0, "{hosts} hosts, a tenth of the limit is asked for");
    }
}

/// Guards against bursts when the limit changes while requests are under way, and at its edges.
#[test]
fn a_limit_that_changes_each_second_is_obeyed() {
    for hosts in SIZES {
        let rate = |ms: u64| Some(Rate([1000, 6000, 2000, 4000][(ms / 1000 % 4) as usize]));
        let mut world = World::new(hosts, 3);
        world.play(0, 40_000, 100.0, rate);
        let most = world.most_in_a_window();
        assert!(most <= allowed(Rate(6000)), "{hosts} hosts: {most} in a window");
    }
}

/// Guards against a burst after an idle time, from hosts that have saved up their part.
#[test]
fn an_idle_time_allows_no_burst() {
    for hosts in SIZES {
        let rate = |_| Some(Rate(2400));
        let mut world = World::new(hosts, 4);
        world.play(0, 5000, 100.0, rate);
        world.play(5000, 55_000, 0.0, rate);
        world.play(55_000, 65_000, 300.0, rate);
        let most = world.most_in_a_window();
        assert!(most <= allowed(Rate(2400)), "{hosts} hosts: {most} in a window");
    }
}

/// Guards against a limit that is exceeded while hosts freeze, restart, join, leave, and know different hosts.
#[test]
fn a_changing_fleet_stays_within_the_limit() {
    for (hosts, seed) in SIZES.into_iter().flat_map(|hosts| (0..4).map(move |seed| (hosts, seed))) {
        let rate = Rate([1000, 2400, 6200, 20_000][seed as usize]);
        let mut world = World::new(hosts, seed);
        for second in 0..40 {
            let ms = second * 1000;
            world.disturb(ms);
            world.play(ms, ms + 1000, 200.0, |_| Some(rate));
        }
        let most = world.most_in_a_window();
        assert!(most <= allowed(rate), "{hosts} hosts, seed {seed}, {rate}: {most} in a window");
    }
}

/// Guards against hosts that never learn that a limit is withdrawn, since they are not allowed to send.
#[test]
fn a_withdrawn_limit_is_forgotten_by_all_hosts() {
    for (hosts, rate) in SIZES.iter().flat_map(|hosts| LIMITS.map(|rate| (*hosts, rate))) {
        let mut world = World::new(hosts, 5);
        world.play(0, 10_000, 100.0, |_| Some(rate));
        world.play(10_000, 50_000, 100.0, |_| None);
        world.refused = 0;
        world.play(50_000, 60_000, 100.0, |_| None);
        assert_eq!(world.refused, 0, "{hosts} hosts, {rate}");
    }
}

/// The sharing is what keeps the fleet within the limit: hosts that issue permits to themselves exceed it.
#[test]
fn hosts_that_share_nothing_exceed_the_limit() {
    for hosts in SIZES {
        let mut world = World::new(hosts, 6);
        world.alone = true;
        world.play(0, 30_000, 200.0, |_| Some(Rate(2400)));
        assert!(world.most_in_a_window() > allowed(Rate(2400)), "{hosts} hosts");
    }
}

/// Guards against a response that was overtaken on its way, and withdraws a limit that was stated after it.
#[test]
fn an_overtaken_response_withdraws_nothing() {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let mut limit = KnownLimit::default();
    assert!(limit.apply(Statement::of_response(Some(Rate(2000)), at(100), at(200))));
    assert!(!limit.apply(Statement::of_response(None, at(150), at(900))));
    assert_eq!(limit.rate(), Some(Rate(2000)));
    assert!(limit.apply(Statement::of_response(Some(Rate(500)), at(150), at(901))));
    assert!(limit.apply(Statement::of_response(None, at(902), at(950))));
    assert_eq!(limit.admission(at(951)), Admission::Unlimited);
}

/// Guards against the loss of a count at the restart of an issuer: its new process has no burst to give away.
#[test]
fn an_issuer_starts_empty() {
    let begun = Instant::now();
    let statement = Statement { rate: Some(Rate(2000)), as_of: begun };
    let mut issuer = PermitIssuer::new(begun);
    assert!(!issuer.request(&server(), statement, 2, begun).granted);
    let later = begun + Duration::from_secs(1);
    assert!(issuer.request(&server(), statement, 2, later).granted);
}

/// Guards against hosts that select different issuers although they know the same hosts.
#[test]
fn issuers_depend_on_the_set_of_hosts_only() {
    let ids: Vec<HostId> = (0..984).map(host_id).collect();
    let mut by_host: BTreeMap<HostId, usize> = BTreeMap::new();
    for n in 0..2000 {
        let server: ServerId = format!("s{n}").parse().unwrap();
        let selected = issuer::select(&server, ids.iter());
        assert_eq!(selected, issuer::select(&server, ids.iter().rev()));
        assert_eq!(selected.len(), issuer::ISSUERS);
        selected.into_iter().for_each(|host| *by_host.entry(host).or_default() += 1);
    }
    assert!(by_host.values().all(|servers| *servers < 20), "a host issues for too many servers");
}

/// Guards against a limit that gets newer each time that hosts tell each other of it, until no response is new enough to withdraw it.
#[test]
fn a_statement_does_not_get_newer_on_its_way() {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let known = Statement::of_response(Some(Rate(2000)), at(0), at(100));
    let (mut issuer, mut limit) = (PermitIssuer::new(begun), KnownLimit::default());
    limit.apply(known);
    for asked in (1000..9000).step_by(50) {
        let arrived = at(asked + 20);
        let statement = limit.newest().unwrap();
        let statement = Statement::relayed(statement.rate, statement.age(at(asked)), arrived);
        let decision = issuer.request(&server(), statement, 2, arrived);
        let age = decision.statement.age(arrived);
        limit.apply(Statement::relayed(decision.statement.rate, age, at(asked)));
    }
    assert_eq!(limit.newest(), Some(known));
}

//! Load balancing and admission, without network, with adjacent hot keys, overloaded owners and owners that
//! leave.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Key, KeyRange, Map, Owner,
    admission::{Gate, OwnerLoad, gate},
    balance::{Candidate, LIMITED_CAPACITY_SHARE, imbalance, place, rebalance},
    demand::{DECAY_TIME, Demand, LoadReport, ServerReport},
};
use jacinthbeam_types::prelude::*;

const OWNERS: u32 = 20;
const CAPACITY: f64 = 13.6;

fn owner(n: u32) -> Owner {
    Owner {
        server: format!("s{n:02}").parse().unwrap(),
        addr: format!("127.0.0.1:{}", 1000 + n).parse().unwrap(),
    }
}

fn candidates(of: std::ops::Range<u32>) -> Vec<Candidate> {
    let candidate =
        |n| Candidate { owner: owner(n), capacity: CAPACITY, cold: false, refuses_excess: false };
    of.map(candidate).collect()
}

/// Twenty owners with the same number of keys each.
fn even_map() -> Map {
    let mut map = Map::unowned();
    for (n, range) in KeyRange::ALL.split_evenly(OWNERS).into_iter().enumerate() {
        map.assign(range, Some(owner(n as u32)), Token(1), None);
    }
    map
}

/// Four seconds of lookups: 137 a second, a third of them for 200 adjacent keys.
fn hot_demand(first: u16) -> Demand {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut report = LoadReport::default();
    for n in 0..548 {
        let key = if n % 3 == 0 { first + rng.u16(0..200) } else { rng.u16(..) };
        *report.earlier.entry(Key(key)).or_default() += 1;
    }
    let mut demand = Demand::default();
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
    demand
}

/// Load of the busiest owner divided by the mean.
fn busiest(map: &Map, demand: &Demand) -> f64 {
    imbalance(map, &demand.rates(map)).expect("there is load")
}

/// Number of keys in the ranges that have another owner than in `before`.
fn moved_keys(map: &Map, before: &Map) -> u32 {
    let has_moved = |assignment: &&jacinthbeam_range::Assignment| {
        before.lookup(assignment.range.first).owner != assignment.owner
    };
    map.assignments().iter().filter(has_moved).map(|assignment| assignment.range.width()).sum()
}

/// Guards against a hot spot on one owner: an even division of the keys gives it all hot keys and seven
/// times the mean load. Narrow windows of them are enough to bring it near the others, so that few keys
/// change owners.
#[test]
fn hot_keys_are_spread_by_moving_few_keys() {
    let (mut map, demand) = (even_map(), hot_demand(20_000));
    let before = map.clone();
    assert!(busiest(&map, &demand) > 6.0);
    let mut rounds = 0;
    loop {
        let moves = rebalance(&map, &demand.rates(&map), &candidates(0..OWNERS), &[], 8);
        if moves.is_empty() {
            break;
        }
        rounds += 1;
        assert!(rounds < 10, "the moves don't converge");
        for change in moves {
            map.assign(change.range, Some(change.to), Token(2), None);
        }
    }
    assert!(busiest(&map, &demand) < 1.6, "busiest has {} of the mean", busiest(&map, &demand));
    assert!(moved_keys(&map, &before) < 3300, "{} keys moved", moved_keys(&map, &before));
}

/// Guards against moves caused by counting errors, which make an evenly loaded owner look busier than
/// others. Such moves gain nothing, and the moved keys arrive at a cold cache.
#[test]
fn even_load_causes_no_moves() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut report = LoadReport::default();
    (0..548).for_each(|_| *report.earlier.entry(Key(rng.u16(..))).or_default() += 1);
    let mut demand = Demand::default();
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
    assert_eq!(
        rebalance(&even_map(), &demand.rates(&even_map()), &candidates(0..OWNERS), &[], 8),
        []
    );
}

/// Guards against an overload of one owner when the owner of the hot keys leaves: placed by width alone, all
/// hot keys would go to one other owner, with several times its capacity.
#[test]
fn load_of_a_leaving_owner_is_spread() {
    let (mut map, demand) = (even_map(), hot_demand(20_000));
    let leaving = map.lookup(Key(20_000)).clone();
    let others: Vec<Candidate> = candidates(0..OWNERS)
        .into_iter()
        .filter(|c| Some(&c.owner) != leaving.owner.as_ref())
        .collect();
    let moves = place(&map, &demand.rates(&map), &others, &[leaving.range]);
    let covered: u32 = moves.iter().map(|change| change.range.width()).sum();
    assert_eq!(covered, leaving.range.width());
    for change in moves {
        map.assign(change.range, Some(change.to), Token(2), None);
    }
    assert!(busiest(&map, &demand) < 2.2, "busiest has {} of the mean", busiest(&map, &demand));
}

/// Adds some seconds of reports, four a second: 27 requests a second for the hot key, if any, and about 50
/// for others. Returns the time at the end.
fn add_load(demand: &mut Demand, begin: Instant, seconds: u32, hot: Option<Key>) -> Instant {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut now = begin;
    for step in 0..seconds * 4 {
        now += Duration::from_millis(250);
        let mut report = LoadReport::default();
        (0..12).for_each(|_| *report.keys.entry(Key(rng.u16(..))).or_default() += 1);
        if let Some(key) = hot {
            report.keys.insert(key, if step % 4 == 0 { 6 } else { 7 });
        }
        demand.advance(now, |_| Some(3));
        demand.add(&"h".parse().unwrap(), now, &report);
    }
    now
}

const HOT: Key = Key(20_000);

/// Adds seven requests for a key.
fn add_requests(demand: &mut Demand, key: Key) {
    let report = LoadReport { earlier: [(key, 7)].into(), ..LoadReport::default() };
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
}

/// The hot key's share of the load.
const HOT_SHARE: f64 = 27.0 / 75.0;

/// Guards against reacting to a burst too late: one key receives a third of all requests from one second to
/// the next. A count over four seconds would show a quarter of its load after one second, which its owner
/// could serve.
#[test]
fn burst_is_detected_within_a_second() {
    let mut demand = Demand::default();
    let begin = add_load(&mut demand, Instant::now(), 8, None);
    add_load(&mut demand, begin, 1, Some(HOT));
    let rates = demand.rates(&even_map());
    let share = rates.count_in(KeyRange { first: HOT, last: HOT }) / rates.total();
    assert!(share > HOT_SHARE * 0.6, "{share} of the load, expected {HOT_SHARE}");
}

/// Guards against an owner that stays idle after a burst because its load is still assumed. The burst ended
/// three seconds ago.
#[test]
fn end_of_a_burst_is_detected_within_seconds() {
    let mut demand = Demand::default();
    let begin = add_load(&mut demand, Instant::now(), 8, Some(HOT));
    add_load(&mut demand, begin, 3, None);
    let rates = demand.rates(&even_map());
    let share = rates.count_in(KeyRange { first: HOT, last: HOT }) / rates.total();
    assert!(share < HOT_SHARE * 0.2, "{share} of the load, expected none");
}

/// Guards against taking the counts of earlier seconds, which a new leader receives in the first reports,
/// for present demand: every owner would look four times as busy as it is.
#[test]
fn earlier_counts_of_a_first_report_are_no_burst() {
    let (map, mut demand) = (even_map(), Demand::default());
    let earlier = (0..548).map(|n| (Key(n * 119), 1)).collect();
    let report = LoadReport { earlier, ..LoadReport::default() };
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
    let total = demand.rates(&map).total();
    assert!((total - 548.0).abs() < 1.0, "{total}");

    // A burst that begins at that moment is detected. It would look small if the earlier counts were added
    // to the fast ones in full.
    let burst = LoadReport { keys: [(HOT, 40)].into(), ..LoadReport::default() };
    demand.add(&"h".parse().unwrap(), Instant::now(), &burst);
    let rates = demand.rates(&map);
    let share = rates.count_in(KeyRange { first: HOT, last: HOT }) / rates.total();
    assert!(share > 0.15, "{share} of the load");
}

/// Guards against moves when the load halves for all owners alike, because a failure domain is cut off with
/// half of the callers. The decrease is significant for a busy owner and not for an idle one, but no owner's
/// share of the load has changed.
#[test]
fn proportional_decrease_of_all_load_keeps_the_shares() {
    let mut demand = Demand::default();
    let (begin, h) = (Instant::now(), "h".parse().unwrap());
    let (busy, calm) = (Key(20_000), Key(50_000));
    for step in 0..38 {
        let now = begin + Duration::from_millis(250) * step;
        let divisor = if step < 32 { 1 } else { 2 };
        let keys = [(busy, 200 / divisor), (calm, 2 / divisor)].into();
        demand.advance(now, |_| Some(3));
        demand.add(&h, now, &LoadReport { keys, ..LoadReport::default() });
    }
    let rates = demand.rates(&even_map());
    let count = |key| rates.count_in(KeyRange { first: key, last: key });
    let ratio = count(busy) / count(calm);
    assert!((90.0..110.0).contains(&ratio), "{ratio}");
}

/// Guards against leaving a key with an owner that is too slow for it. The key can't be split, and moving
/// all other keys away still leaves most of its requests refused, while another server could answer twice as
/// many.
#[test]
fn key_that_overwhelms_a_slow_owner_moves_to_the_fastest_server_with_room() {
    let mut demand = Demand::default();
    add_load(&mut demand, Instant::now(), 8, Some(HOT));
    let (map, mut all) = (even_map(), candidates(0..OWNERS));
    let slow = map.lookup(HOT).owner.clone();
    let at = |owner: u32| owner as usize;
    all.iter_mut().for_each(|c| {
        if Some(&c.owner) == slow.as_ref() {
            c.capacity = 7.0
        }
    });
    all[at(3)].capacity = 17.0;
    let moves = rebalance(&map, &demand.rates(&map), &all, &[], 8);
    let to: Vec<&Owner> = moves.iter().filter(|m| m.range.contains(HOT)).map(|m| &m.to).collect();
    assert_eq!(to, [&owner(3)]);
    // A fast server that has a hot key of its own has no room for another.
    let other = Key(3 * 3277 + 5);
    let mut two = demand.clone();
    (0..8).for_each(|_| add_requests(&mut two, other));
    let moves = rebalance(&map, &two.rates(&map), &all, &[], 8);
    assert!(moves.iter().all(|m| !m.range.contains(HOT) || m.to != owner(3)), "{moves:?}");
    // An owner that is only slightly slower keeps the key.
    all.iter_mut().for_each(|c| {
        if Some(&c.owner) == slow.as_ref() {
            c.capacity = 13.0
        }
    });
    let moves = rebalance(&map, &demand.rates(&map), &all, &[], 8);
    assert!(moves.iter().all(|m| !m.range.contains(HOT)), "{moves:?}");
}

/// Guards against counting the time in the queue as service time, which would make a server with a long
/// queue look slow. The service time comes from the busy time of the slots.
#[test]
fn service_time_excludes_queueing() {
    let (begin, h): (_, HostId) = (Instant::now(), "h".parse().unwrap());
    let s: ServerId = "s".parse().unwrap();
    for in_flight in [3, 12] {
        let mut demand = Demand::default();
        for step in 0..80 {
            let now = begin + Duration::from_millis(250) * step;
            // Three slots at 0.2 s each give 15 answers a second; every fourth report has 3, the others 4.
            let answers = if step % 4 == 0 { 3 } else { 4 };
            let counts =
                ServerReport { answers, in_flight, rate_limit: None, paused: 0, draining: false };
            let report =
                LoadReport { servers: [(s.clone(), counts)].into(), ..LoadReport::default() };
            demand.advance(now, |_| Some(3));
            demand.add(&h, now, &report);
        }
        let service_time = demand.service_time(&s).unwrap().as_secs_f64();
        assert!((service_time - 0.2).abs() < 0.02, "{service_time} s with {in_flight} in flight");
    }
}

fn owner_load(in_flight: f64, rates: &[(u32, f64)]) -> OwnerLoad {
    let (slots, service_time) = (3, Duration::from_millis(220));
    let arrival_rates = rates.iter().copied().collect();
    OwnerLoad { slots, service_time, in_flight, arrival_rates, rate_limit: None }
}

const OBJECTIVE: Duration = Duration::from_millis(600);

/// Guards against a queue that makes all answers late: twice an owner's capacity arrives. With what it can
/// serve, half of the requests are answered in time, and the others are refused immediately without being
/// run.
#[test]
fn overloaded_owner_is_sent_what_it_can_serve() {
    let gate = gate(&owner_load(6.5, &[(2, 27.0)]), OBJECTIVE).unwrap();
    let sent = gate.share * 27.0;
    assert!(gate.rank == 2 && (12.0..15.0).contains(&sent), "{sent} a second");
}

/// Guards against refusals by an owner that has no queue, or that can serve all that arrives.
#[test]
fn owner_without_overload_is_sent_everything() {
    assert_eq!(gate(&owner_load(3.0, &[(2, 27.0)]), OBJECTIVE), None);
    assert_eq!(gate(&owner_load(5.0, &[(2, 12.0)]), OBJECTIVE), None);
}

/// Guards against refusing urgent requests while less urgent ones are admitted.
#[test]
fn urgent_requests_are_admitted_before_others() {
    let gate = gate(&owner_load(6.5, &[(0, 8.0), (2, 20.0)]), OBJECTIVE).unwrap();
    assert_eq!(gate.rank, 2);
    assert!(gate.admits(0, 0.99) && gate.admits(2, 0.1) && !gate.admits(2, 0.9));
    assert!(!Gate { rank: 0, share: 1.0 }.admits(2, 0.0));
}

/// Guards against a map that grows while many servers of a large service leave one after the other, since
/// each range costs a renewal. Among many owners a few pieces are enough to spread the load of one; among few
/// owners more are needed.
#[test]
fn range_is_split_into_fewer_pieces_among_many_owners() {
    let (map, demand) = (even_map(), hot_demand(20_000));
    let widest =
        map.assignments().iter().max_by_key(|assignment| assignment.range.width()).unwrap();
    let pieces = |owners| {
        let others = candidates(1..owners);
        place(&map, &demand.rates(&map), &others, &[widest.range]).len()
    };
    let (few, many) = (pieces(20), pieces(180));
    assert!(many <= 6 && many < few, "{few} pieces among 20, {many} among 180");
}

/// Guards against keys that move all day for nothing. Load pattern: a steady load on 744 owners with some three requests a second each; by
/// chance some owners get half as much again in every few seconds.
#[test]
fn a_steady_load_on_many_owners_moves_few_keys() {
    let owners = 744;
    let mut map = Map::unowned();
    for (n, range) in KeyRange::ALL.split_evenly(owners).into_iter().enumerate() {
        map.assign(range, Some(owner(n as u32)), Token(1), None);
    }
    let mut rng = fastrand::Rng::with_seed(7);
    let mut demand = Demand::default();
    let mut now = Instant::now();
    let mut moves = 0;
    for _ in 0..60 {
        now += Duration::from_millis(400);
        let mut report = LoadReport::default();
        for _ in 0..800 {
            *report.keys.entry(Key(rng.u16(..))).or_default() += 1;
        }
        demand.advance(now, |_| Some(3));
        demand.add(&"h".parse().unwrap(), now, &report);
        let rates = demand.rates(&map);
        moves += rebalance(&map, &rates, &candidates(0..owners), &[], 100).len();
    }
    assert!(moves <= 12, "{moves} moves in 60 checks");
}

/// Guards against less urgent requests that use up the rate limit of an owner, although it has no queue.
#[test]
fn urgent_requests_are_admitted_first_at_a_rate_limited_owner() {
    let limited = |rates: &[(u32, f64)], limit| {
        let load = OwnerLoad { rate_limit: Some(limit), ..owner_load(1.0, rates) };
        gate(&load, OBJECTIVE)
    };
    let gate = limited(&[(0, 2.0), (2, 20.0)], Rate(4000)).unwrap();
    let sent = 2.0 + gate.share * 20.0;
    assert!(gate.rank == 2 && gate.admits(0, 1.0) && (4.0..6.0).contains(&sent), "{gate:?}");
    assert_eq!(limited(&[(0, 2.0), (2, 1.0)], Rate(4000)), None);
    assert_eq!(limited(&[(2, 20.0)], Rate(4000)), None);
    let gate = limited(&[(0, 2.0), (2, 20.0)], Rate(0)).unwrap();
    assert!(gate.rank == 0 && (0.01..0.1).contains(&gate.share), "{gate:?}");
}

/// Requests a second for the keys of an owner.
fn load_of(map: &Map, demand: &Demand, n: u32) -> f64 {
    let rates = demand.rates(map);
    let server = owner(n).server;
    let owned = map.owned_by(&server).map(|assignment| assignment.range);
    owned.map(|range| rates.count_in(range)).sum::<f64>() / DECAY_TIME.as_secs_f64()
}

/// Guards against keys that stay on an owner whose rate limit is below their load, so that their requests are refused for as long as the
/// limit lasts.
#[test]
fn keys_move_off_a_rate_limited_owner_until_its_limit_suffices() {
    for limit in [Rate(0), Rate(100), Rate(2400), Rate(6200)] {
        let (mut map, demand) = (even_map(), hot_demand(20_000));
        let limited = 6;
        let mut candidates = candidates(0..OWNERS);
        candidates[limited as usize].capacity =
            (limit.per_second() * LIMITED_CAPACITY_SHARE).min(CAPACITY);
        candidates[limited as usize].refuses_excess = true;
        assert!(load_of(&map, &demand, limited) > limit.per_second());
        for _ in 0..30 {
            for change in rebalance(&map, &demand.rates(&map), &candidates, &[], 8) {
                map.assign(change.range, Some(change.to), Token(2), None);
            }
        }
        let load = load_of(&map, &demand, limited);
        assert!(load <= limit.per_second().max(0.5), "{load} a second are left at {limit}");
    }
}

/// Guards against a rate limit that outlives the last report of it, or a report without one.
#[test]
fn a_reported_rate_limit_is_forgotten_when_it_is_withdrawn_or_silent() {
    let (begin, h): (_, HostId) = (Instant::now(), "h".parse().unwrap());
    let s: ServerId = "s".parse().unwrap();
    let report = |answers, rate_limit| {
        let counts = ServerReport { answers, in_flight: 1, rate_limit, paused: 0, draining: false };
        LoadReport { servers: [(s.clone(), counts)].into(), ..LoadReport::default() }
    };
    let mut demand = Demand::default();
    demand.add(&h, begin, &report(1, Some(Rate(2000))));
    demand.add(&h, begin, &report(0, None));
    demand.advance(begin + Duration::from_secs(14), |_| Some(3));
    assert_eq!(demand.rate_limit(&s), Some(Rate(2000)), "a report without answers tells nothing");
    demand.advance(begin + Duration::from_secs(16), |_| Some(3));
    assert_eq!(demand.rate_limit(&s), None);
    demand.add(&h, begin, &report(1, Some(Rate(2000))));
    demand.add(&h, begin, &report(1, None));
    assert_eq!(demand.rate_limit(&s), None);
}

/// Guards against keys that stay on an owner that asks all hosts to pause, and against an owner that gets no keys for ever after a pause.
#[test]
fn an_owner_that_asks_hosts_to_pause_counts_less_for_some_seconds() {
    let (begin, h): (_, HostId) = (Instant::now(), "h".parse().unwrap());
    let s: ServerId = "s".parse().unwrap();
    let report = |answers, paused| {
        let counts =
            ServerReport { answers, in_flight: 0, rate_limit: None, paused, draining: false };
        LoadReport { servers: [(s.clone(), counts)].into(), ..LoadReport::default() }
    };
    let mut demand = Demand::default();
    demand.advance(begin, |_| Some(3));
    demand.add(&h, begin, &report(40, 0));
    assert_eq!(demand.admitted_share(&s), 1.0);
    for second in 1..=3 {
        let now = begin + Duration::from_secs(second);
        demand.advance(now, |_| Some(3));
        demand.add(&h, now, &report(0, 20));
    }
    assert!(demand.admitted_share(&s) < 0.4, "{}", demand.admitted_share(&s));
    demand.advance(begin + Duration::from_secs(10), |_| Some(3));
    assert!(demand.admitted_share(&s) < 0.4);
    demand.advance(begin + Duration::from_secs(25), |_| Some(3));
    assert_eq!(demand.admitted_share(&s), 1.0);
}

//! Loads of heavy days, without network: hot keys side by side, owners asked for more than they can do, owners that leave.

use std::time::{Duration, Instant};

use jacinthbeam_range::{
    Key, KeyRange, Map, Owner,
    admission::{Gate, OwnerLoad, gate},
    balance::{Candidate, imbalance, place, rebalance},
    demand::{Demand, LoadReport, ServerReport},
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
    of.map(|n| Candidate { owner: owner(n), capacity: CAPACITY, cold: false }).collect()
}

/// Twenty owners with the same number of keys each.
fn even() -> Map {
    let mut map = Map::unowned();
    for (n, range) in KeyRange::ALL.split_evenly(OWNERS).into_iter().enumerate() {
        map.assign(range, Some(owner(n as u32)), Token(1), None);
    }
    map
}

/// Four seconds of the sheet's lookups: 137 a second, a third of them for 200 keys that lie side by side.
fn hot(first: u16) -> Demand {
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

fn busiest(map: &Map, demand: &Demand) -> f64 {
    imbalance(map, &demand.rates(map)).expect("something is asked")
}

fn width(map: &Map, was: &Map) -> u32 {
    let moved =
        |held: &&jacinthbeam_range::Assignment| was.lookup(held.range.first).owner != held.owner;
    map.assignments().iter().filter(moved).map(|held| held.range.width()).sum()
}

/// An even division gives the hot keys to one owner, which has seven times the mean. Narrow windows of them are enough to
/// bring it near the others, and few keys change hands.
#[test]
fn hot_keys_are_spread_by_moving_few_keys() {
    let (mut map, demand) = (even(), hot(20_000));
    let was = map.clone();
    assert!(busiest(&map, &demand) > 6.0);
    let mut rounds = 0;
    loop {
        let moves = rebalance(&map, &demand.rates(&map), &candidates(0..OWNERS), &[], 8);
        if moves.is_empty() {
            break;
        }
        rounds += 1;
        assert!(rounds < 10, "the plan doesn't come to rest");
        for change in moves {
            map.assign(change.range, Some(change.to), Token(2), None);
        }
    }
    assert!(busiest(&map, &demand) < 1.6, "busiest has {} of the mean", busiest(&map, &demand));
    assert!(width(&map, &was) < 3300, "{} keys moved", width(&map, &was));
}

/// Counting errors of an even load look like differences between owners. Moving keys for them would gain nothing and cost
/// each moved key its warmth.
#[test]
fn an_even_load_moves_nothing() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut report = LoadReport::default();
    (0..548).for_each(|_| *report.earlier.entry(Key(rng.u16(..))).or_default() += 1);
    let mut demand = Demand::default();
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
    assert_eq!(rebalance(&even(), &demand.rates(&even()), &candidates(0..OWNERS), &[], 8), []);
}

/// The owner of the hot keys leaves. Given to others by width alone, all hot keys would go to one of them, which then has
/// several times what it can do.
#[test]
fn a_leaving_owner_s_load_goes_to_many() {
    let (mut map, demand) = (even(), hot(20_000));
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

/// Asks for one key 27 times a second and for others 50 times, for some seconds; reports come four times a second.
fn ask(demand: &mut Demand, from: Instant, seconds: u32, hot: Option<Key>) -> Instant {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut now = from;
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

/// Asks for a key seven times more, at once.
fn ask_more(demand: &mut Demand, key: Key) {
    let report = LoadReport { earlier: [(key, 7)].into(), ..LoadReport::default() };
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
}

/// Part of the load that it has while it is asked for.
const HOT_SHARE: f64 = 27.0 / 75.0;

/// A key is asked for by a third of all callers from one second to the next. Counted over four seconds it looks after one like
/// a key with a quarter of its load, which its owner can do.
#[test]
fn a_burst_is_known_within_a_second() {
    let mut demand = Demand::default();
    let begun = ask(&mut demand, Instant::now(), 8, None);
    ask(&mut demand, begun, 1, Some(HOT));
    let rates = demand.rates(&even());
    let share = rates.count_in(KeyRange { first: HOT, last: HOT }) / rates.total();
    assert!(share > HOT_SHARE * 0.6, "{share} of the load in place of {HOT_SHARE}");
}

/// The burst has ended three seconds ago. Its owner stands idle for as long as it is thought to have it still.
#[test]
fn the_end_of_a_burst_is_known_soon() {
    let mut demand = Demand::default();
    let begun = ask(&mut demand, Instant::now(), 8, Some(HOT));
    ask(&mut demand, begun, 3, None);
    let rates = demand.rates(&even());
    let share = rates.count_in(KeyRange { first: HOT, last: HOT }) / rates.total();
    assert!(share < HOT_SHARE * 0.2, "{share} of the load in place of none");
}

/// A host that begins to grant is told of the last seconds at once. Taken for the present, they would make every owner look four
/// times as busy as it is.
#[test]
fn what_is_told_of_earlier_seconds_is_no_burst() {
    let (map, mut demand) = (even(), Demand::default());
    let earlier = (0..548).map(|n| (Key(n * 119), 1)).collect();
    let report = LoadReport { earlier, ..LoadReport::default() };
    demand.add(&"h".parse().unwrap(), Instant::now(), &report);
    let total = demand.rates(&map).total();
    assert!((total - 548.0).abs() < 1.0, "{total}");

    // A burst that begins at that moment is seen as one. Were the earlier seconds part of the present, it would look small beside them.
    let burst = LoadReport { keys: [(HOT, 40)].into(), ..LoadReport::default() };
    demand.add(&"h".parse().unwrap(), Instant::now(), &burst);
    let rates = demand.rates(&map);
    let share = rates.count_in(KeyRange { first: HOT, last: HOT }) / rates.total();
    assert!(share > 0.15, "{share} of the load");
}

/// A failure domain is cut off, and half of all callers with it. No owner's part of the load has changed, so no key has to move,
/// although the fall of a busy owner is beyond chance and that of a calm one is not.
#[test]
fn a_load_that_falls_everywhere_changes_nothing() {
    let mut demand = Demand::default();
    let (begun, h) = (Instant::now(), "h".parse().unwrap());
    let (busy, calm) = (Key(20_000), Key(50_000));
    for step in 0..38 {
        let now = begun + Duration::from_millis(250) * step;
        let part = if step < 32 { 1 } else { 2 };
        let keys = [(busy, 200 / part), (calm, 2 / part)].into();
        demand.advance(now, |_| Some(3));
        demand.add(&h, now, &LoadReport { keys, ..LoadReport::default() });
    }
    let rates = demand.rates(&even());
    let count = |key| rates.count_in(KeyRange { first: key, last: key });
    let ratio = count(busy) / count(calm);
    assert!((90.0..110.0).contains(&ratio), "{ratio}");
}

/// One key asks a slow owner for more than it can do. It can't be divided, and moving all else away leaves most of its requests
/// refused, while another server could answer twice as many.
#[test]
fn a_key_that_overwhelms_a_slow_owner_goes_to_the_fastest_with_room() {
    let mut demand = Demand::default();
    ask(&mut demand, Instant::now(), 8, Some(HOT));
    let (map, mut all) = (even(), candidates(0..OWNERS));
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
    (0..8).for_each(|_| ask_more(&mut two, other));
    let moves = rebalance(&map, &two.rates(&map), &all, &[], 8);
    assert!(moves.iter().all(|m| !m.range.contains(HOT) || m.to != owner(3)), "{moves:?}");
    // An owner that is hardly slower keeps it.
    all.iter_mut().for_each(|c| {
        if Some(&c.owner) == slow.as_ref() {
            c.capacity = 13.0
        }
    });
    let moves = rebalance(&map, &demand.rates(&map), &all, &[], 8);
    assert!(moves.iter().all(|m| !m.range.contains(HOT)), "{moves:?}");
}

/// The time that a request takes in a slot is learnt from how long slots were taken, however long requests wait for them.
#[test]
fn waiting_is_not_taken_for_work() {
    let (begun, h): (_, HostId) = (Instant::now(), "h".parse().unwrap());
    let s: ServerId = "s".parse().unwrap();
    for present in [3, 12] {
        let mut demand = Demand::default();
        for step in 0..80 {
            let now = begun + Duration::from_millis(250) * step;
            // Three slots at 0.2 s each give 15 answers a second; every fourth report has 3, the others 4.
            let answers = if step % 4 == 0 { 3 } else { 4 };
            let work = ServerReport { answers, in_flight: present };
            let report =
                LoadReport { servers: [(s.clone(), work)].into(), ..LoadReport::default() };
            demand.advance(now, |_| Some(3));
            demand.add(&h, now, &report);
        }
        let work = demand.service_time(&s).unwrap().as_secs_f64();
        assert!((work - 0.2).abs() < 0.02, "{work} s with {present} present");
    }
}

fn asked(present: f64, rates: &[(u32, f64)]) -> OwnerLoad {
    let (slots, service_time) = (3, Duration::from_millis(220));
    OwnerLoad {
        slots,
        service_time,
        in_flight: present,
        arrival_rates: rates.iter().copied().collect(),
    }
}

const OBJECTIVE: Duration = Duration::from_millis(600);

/// An owner is asked for twice what it can do. Sent all of it, its queue fills and everybody is answered late; sent what it
/// works off, half are answered in time and the others hear at once that they were not run.
#[test]
fn an_owner_that_is_asked_for_too_much_is_sent_what_it_can_do() {
    let gate = gate(&asked(6.5, &[(2, 27.0)]), OBJECTIVE).unwrap();
    let sent = gate.share * 27.0;
    assert!(gate.rank == 2 && (12.0..15.0).contains(&sent), "{sent} a second");
}

#[test]
fn an_owner_without_a_queue_is_sent_everything() {
    assert_eq!(gate(&asked(3.0, &[(2, 27.0)]), OBJECTIVE), None);
    assert_eq!(gate(&asked(5.0, &[(2, 12.0)]), OBJECTIVE), None);
}

/// The least urgent requests give way first.
#[test]
fn urgent_requests_are_let_in_before_others() {
    let gate = gate(&asked(6.5, &[(0, 8.0), (2, 20.0)]), OBJECTIVE).unwrap();
    assert_eq!(gate.rank, 2);
    assert!(gate.admits(0, 0.99) && gate.admits(2, 0.1) && !gate.admits(2, 0.9));
    assert!(!Gate { rank: 0, share: 1.0 }.admits(2, 0.0));
}

/// The pattern: many servers of a large service leave one after the other. Each range that changes its owner is one more to renew, and
/// among many owners a few pieces are enough to spread what one leaves. Among few owners it is cut finer.
#[test]
fn what_a_server_leaves_is_cut_less_among_many() {
    let (map, demand) = (even(), hot(20_000));
    let held = map.assignments().iter().max_by_key(|held| held.range.width()).unwrap();
    let pieces = |owners| {
        let others = candidates(1..owners);
        place(&map, &demand.rates(&map), &others, &[held.range]).len()
    };
    let (few, many) = (pieces(20), pieces(180));
    assert!(many <= 6 && many < few, "{few} pieces among 20, {many} among 180");
}

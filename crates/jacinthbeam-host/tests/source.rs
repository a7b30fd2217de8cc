//! Which source a host selects for its data.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_host::process::peers::{
    HostEntry,
    order::{Neighbour, Neighbours},
    source::{Action, Answer, MAX_STALENESS, NoAnswer, SourceSelector, should_poll_seeds},
};
use jacinthbeam_types::prelude::*;

fn host(n: u16) -> Neighbour {
    (format!("h{n}").parse().unwrap(), addr(n))
}

fn addr(n: u16) -> SocketAddr {
    format!("127.0.0.1:{n}").parse().unwrap()
}

/// Hosts of another failure domain.
fn far<const N: usize>(hosts: [Neighbour; N]) -> BTreeMap<FailureDomain, Vec<Neighbour>> {
    BTreeMap::from([("far".parse().unwrap(), hosts.to_vec())])
}

/// Chooses the first of several addresses.
fn first(addrs: &[SocketAddr]) -> Option<SocketAddr> {
    addrs.first().copied()
}

fn fresh(steps: u8) -> Answer {
    Answer { age: Duration::from_millis(100), steps, asks_store: steps == 0 }
}

/// Answer of a host that calls the store without getting answers.
const TRYING: Answer = Answer { age: Duration::MAX, steps: u8::MAX, asks_store: true };

/// Answer of a host that has no fresh data and doesn't call the store.
const WAITING: Answer = Answer { age: Duration::MAX, steps: u8::MAX, asks_store: false };

fn before(hosts: &[u16]) -> Neighbours {
    Neighbours { before: hosts.iter().map(|n| host(*n)).collect(), ..Neighbours::default() }
}

/// Guards against long chains of hosts, by which a server got requests 2.9 s after the store accepted its leaving, where 2 s are allowed.
///
/// The first host of a failure domain didn't answer for a moment. Every other host then followed the one right before it, and the record passed
/// from host to host down the domain. Data may pass three hosts at most.
#[test]
fn data_passes_few_hosts_on_its_way() {
    assert!(fresh(0).can_be_followed(false));
    assert!(fresh(2).can_be_followed(false) && !fresh(3).can_be_followed(false));
    assert!(
        fresh(1).is_usable_fallback() && !fresh(2).is_usable_fallback(),
        "its followers would pass the data on"
    );
    let old = Answer { age: MAX_STALENESS + Duration::from_millis(1), ..fresh(0) };
    assert!(!old.can_be_followed(false) && !old.is_usable_fallback());
}

/// Guards against two hosts that follow each other. The store refuses the first host of a domain, which polls the second, a reader. If the reader
/// followed the first host in turn, both would lose their source.
#[test]
fn a_host_that_the_store_answers_follows_only_another_such_host() {
    assert!(fresh(0).can_be_followed(true));
    assert!(!fresh(1).can_be_followed(true));
}

/// Guards against needless traffic between domains. The store refuses the first host of a failure domain and answers the others, which read it
/// when the first has no fresh data. The first must then poll a host of its own domain: otherwise the data for the whole domain would come
/// from another one.
#[test]
fn a_refused_host_polls_its_own_domain_first() {
    let now = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours =
        Neighbours { before: Vec::new(), after: vec![host(2), host(3)], far: far([host(7)]) };
    let next =
        |sources: &mut SourceSelector, now, lost| sources.next(now, &neighbours, lost, first);
    assert_eq!(next(&mut sources, now, false), Action::ReadStore);
    assert_eq!(next(&mut sources, now, true), Action::PollFallback(addr(2)));
    // None of them has fresher data: the store refuses the whole domain.
    sources.on_unusable_fallback(addr(2), now);
    sources.on_unusable_fallback(addr(3), now);
    assert_eq!(next(&mut sources, now, true), Action::PollFallback(addr(7)));
    sources.on_unusable_fallback(addr(7), now);
    assert_eq!(next(&mut sources, now, true), Action::ReadStore);
    let later = now + Duration::from_secs(2);
    assert_eq!(next(&mut sources, later, true), Action::PollFallback(addr(2)));
}

/// Guards against waiting for unreachable hosts. Preceding hosts are polled in order, and one that doesn't answer is skipped for some seconds,
/// longer each time.
#[test]
fn the_first_reachable_host_is_polled() {
    let now = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours = before(&[1, 2]);
    let next = |sources: &mut SourceSelector, now| sources.next(now, &neighbours, false, first);
    assert_eq!(next(&mut sources, now), Action::Ask(host(1)));
    sources.on_no_answer(&host(1).0, NoAnswer::Silent, now);
    assert_eq!(next(&mut sources, now), Action::Ask(host(2)));
    sources.on_no_answer(&host(2).0, NoAnswer::Silent, now);
    assert_eq!(next(&mut sources, now), Action::ReadStore);
    let later = now + Duration::from_secs(4);
    assert_eq!(next(&mut sources, later), Action::Ask(host(1)));
    sources.on_no_answer(&host(1).0, NoAnswer::Silent, later);
    sources.on_no_answer(&host(2).0, NoAnswer::Silent, later);
    assert_eq!(next(&mut sources, later + Duration::from_secs(4)), Action::ReadStore);
    assert_eq!(next(&mut sources, later + Duration::from_secs(7)), Action::Ask(host(1)));
}

/// Guards against a burst of calls to the store: all 59 hosts of a domain lose the one that they follow, and each made four calls within
/// milliseconds. A host leaves every preceding host time to become a reader, and polls it again, before it reads the store itself.
#[test]
fn a_host_gives_preceding_hosts_time_to_become_readers() {
    let begun = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours = before(&[1, 2, 3, 4, 5, 6]);
    let mut now = begun;
    let mut polls = 0;
    loop {
        match sources.next(now, &neighbours, false, first) {
            Action::Ask((id, _)) => {
                polls += 1;
                assert!(!sources.on_answer(&id, WAITING, false, now));
            }
            Action::Wait(pause) => now += pause,
            Action::ReadStore => break,
            Action::PollFallback(addr) => {
                panic!("{addr} is polled for help by a host that doesn't call the store")
            }
        }
    }
    assert_eq!(now - begun, Duration::from_millis(600), "four hosts are polled, 150 ms for each");
    assert!(polls >= 4 * 5, "{polls} polls: a new reader is found before another one starts");
}

/// Guards against every host calling an unresponsive store: three hosts of a domain probe it, and the fourth polls those, however long the
/// outage lasts.
#[test]
fn three_hosts_of_a_domain_probe_an_unresponsive_store() {
    let begun = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours = before(&[1, 2, 3]);
    let mut now = begun;
    while now < begun + Duration::from_secs(60) {
        match sources.next(now, &neighbours, false, first) {
            Action::Ask((id, _)) => assert!(!sources.on_answer(&id, TRYING, false, now)),
            Action::Wait(pause) => now += pause.max(Duration::from_millis(1)),
            step => panic!("{step:?} after {:?}", now - begun),
        }
    }
    let Action::Ask((id, _)) = sources.next(now, &neighbours, false, first) else { return };
    assert!(sources.on_answer(&id, fresh(0), false, now), "the store is back");
}

/// Guards against skipping a host that is still starting, as all hosts do together: one that refuses a connection is polled once more before it
/// is skipped.
#[test]
fn a_starting_host_is_polled_again() {
    let now = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours = before(&[1]);
    let next = |sources: &mut SourceSelector, now| sources.next(now, &neighbours, false, first);
    assert_eq!(next(&mut sources, now), Action::Ask(host(1)));
    sources.on_no_answer(&host(1).0, NoAnswer::Refused, now);
    assert!(matches!(next(&mut sources, now), Action::Wait(_)));
    let later = now + Duration::from_millis(300);
    assert_eq!(next(&mut sources, later), Action::Ask(host(1)));
    sources.on_no_answer(&host(1).0, NoAnswer::Refused, later);
    assert_eq!(next(&mut sources, later), Action::ReadStore);
}

/// Guards against a host without any source: one that starts while the store refuses it knows no other host, and polls its seed hosts.
#[test]
fn seeds_are_polled_while_no_host_is_known() {
    let old = MAX_STALENESS + Duration::from_millis(1);
    assert!(should_poll_seeds(None, Duration::MAX));
    assert!(should_poll_seeds(Some(&Neighbours::default()), old));
    assert!(!should_poll_seeds(Some(&Neighbours::default()), Duration::ZERO), "the store answers");
    let known = Neighbours { far: far([host(7)]), ..Neighbours::default() };
    assert!(!should_poll_seeds(Some(&known), old));
}

/// Guards against small hosts as readers, and against hosts with different orders. A reader answers all other hosts of its domain, so hosts with
/// most processor come first; equal ones are ordered by name.
#[test]
fn hosts_with_most_processor_read_for_the_others() {
    let entry = |n: u16, domain: &str, processor| HostEntry {
        addr: addr(n),
        domain: domain.parse().unwrap(),
        processor: Millicores(processor),
        relay: false,
    };
    let fleet = [
        (host(1).0, entry(1, "a", 100)),
        (host(2).0, entry(2, "a", 500)),
        (host(3).0, entry(3, "a", 100)),
        (host(4).0, entry(4, "a", 500)),
        (host(5).0, entry(5, "b", 100)),
    ];
    let (id, own) = &fleet[2];
    let neighbours = Neighbours::of(id, own, fleet.iter().map(|(host, entry)| (host, entry)));
    assert_eq!(neighbours.before, [host(2), host(4), host(1)]);
    assert!(neighbours.after.is_empty());
    assert_eq!(neighbours.far.into_values().collect::<Vec<_>>(), [[host(5)]]);
}

//! Whom a host asks for the news of the store.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_host::process::peers::{
    HostEntry,
    order::{Neighbour, Neighbours},
    source::{Action, Answer, MAX_STALENESS, NoAnswer, SourceSelector, should_ask_seeds},
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

/// The first of several.
fn first(addrs: &[SocketAddr]) -> Option<SocketAddr> {
    addrs.first().copied()
}

fn fresh(steps: u8) -> Answer {
    Answer { age: Duration::from_millis(100), steps, asks_store: steps == 0 }
}

/// Of a host that asks the store and is not answered.
const TRYING: Answer = Answer { age: Duration::MAX, steps: u8::MAX, asks_store: true };

/// Of a host that has nothing to go on, and leaves the store to others.
const WAITING: Answer = Answer { age: Duration::MAX, steps: u8::MAX, asks_store: false };

fn before(hosts: &[u16]) -> Neighbours {
    Neighbours { before: hosts.iter().map(|n| host(*n)).collect(), ..Neighbours::default() }
}

/// A server gets requests 2.9 s after the store took the word of its leaving, where 2 s are allowed.
///
/// The first host of a failure domain was silent for a moment. All others passed it over, each for the one before itself, and the word then
/// went from host to host down the domain: each asked one that asked another. News pass three hosts at the most.
#[test]
fn news_pass_few_hosts_on_their_way() {
    assert!(fresh(0).can_be_followed(false));
    assert!(fresh(2).can_be_followed(false) && !fresh(3).can_be_followed(false));
    assert!(fresh(1).helps() && !fresh(2).helps(), "those that follow would pass them on");
    let old = Answer { age: MAX_STALENESS + Duration::from_millis(1), ..fresh(0) };
    assert!(!old.can_be_followed(false) && !old.helps());
}

/// The store turns the first host of a domain away. The second reads the store and is asked by the first. If it went on with the answers of the
/// first, each would take its news from the other, and both would lose them.
#[test]
fn a_host_that_the_store_answers_follows_only_another_such_host() {
    assert!(fresh(0).can_be_followed(true));
    assert!(!fresh(1).can_be_followed(true));
}

/// The store turns the first host of a failure domain away and serves the others there. The next ones read the store when the first has nothing
/// to go on, and the first asks in its own domain: asked elsewhere, everything would cross the border, also for those behind it.
#[test]
fn a_host_that_is_turned_away_asks_in_its_own_domain() {
    let now = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours =
        Neighbours { before: Vec::new(), after: vec![host(2), host(3)], far: far([host(7)]) };
    let next =
        |sources: &mut SourceSelector, now, lost| sources.next(now, &neighbours, lost, first);
    assert_eq!(next(&mut sources, now, false), Action::ReadStore);
    assert_eq!(next(&mut sources, now, true), Action::AskForHelp(addr(2)));
    // None of them knows more: the whole domain is turned away.
    sources.on_no_help(addr(2), now);
    sources.on_no_help(addr(3), now);
    assert_eq!(next(&mut sources, now, true), Action::AskForHelp(addr(7)));
    sources.on_no_help(addr(7), now);
    assert_eq!(next(&mut sources, now, true), Action::ReadStore);
    let later = now + Duration::from_secs(2);
    assert_eq!(next(&mut sources, later, true), Action::AskForHelp(addr(2)));
}

/// The hosts before are asked in their order. One that gave no answer is passed over for some seconds, longer each time.
#[test]
fn the_first_host_that_is_there_is_asked() {
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

/// All 59 hosts of a domain lose the one that they follow, and each makes four calls to the store within milliseconds. Each host before one has
/// its time to read the store, and is asked again, before that one reads it too.
#[test]
fn a_host_leaves_the_store_to_those_before_it_for_their_turn() {
    let begun = Instant::now();
    let mut sources = SourceSelector::default();
    let neighbours = before(&[1, 2, 3, 4, 5, 6]);
    let mut now = begun;
    let mut asked = 0;
    loop {
        match sources.next(now, &neighbours, false, first) {
            Action::Ask((id, _)) => {
                asked += 1;
                assert!(!sources.on_answer(&id, WAITING, false, now));
            }
            Action::Wait(pause) => now += pause,
            Action::ReadStore => break,
            Action::AskForHelp(addr) => {
                panic!("{addr} is asked for help by a host that doesn't ask the store")
            }
        }
    }
    assert_eq!(now - begun, Duration::from_millis(600), "four hosts are asked, 150 ms for each");
    assert!(asked >= 4 * 5, "{asked} questions: a new reader is found before another one begins");
}

/// The store is away. Three hosts of the domain ask it whether it is back; the fourth leaves it to them however long that takes, and asks them.
#[test]
fn three_hosts_of_a_domain_ask_a_store_that_is_away() {
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

/// A host is asked at whose address nothing listens yet, as all start together. It is asked once more before those behind it count.
#[test]
fn a_host_that_is_about_to_start_is_asked_again() {
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

/// A host that has just started while the store turns it away knows nobody, and asks those that its settings name.
#[test]
fn seeds_are_asked_while_nobody_is_known() {
    let old = MAX_STALENESS + Duration::from_millis(1);
    assert!(should_ask_seeds(None, Duration::MAX));
    assert!(should_ask_seeds(Some(&Neighbours::default()), old));
    assert!(!should_ask_seeds(Some(&Neighbours::default()), Duration::ZERO), "the store answers");
    let somebody = Neighbours { far: far([host(7)]), ..Neighbours::default() };
    assert!(!should_ask_seeds(Some(&somebody), old));
}

/// A reader answers all other hosts of its domain. Hosts with most processor come first, and hosts that are alike stand in the order of their
/// names; each host works out the same order.
#[test]
fn hosts_with_most_processor_read_for_the_others() {
    let entry = |n: u16, domain: &str, processor| HostEntry {
        addr: addr(n),
        domain: domain.parse().unwrap(),
        processor: Millicores(processor),
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

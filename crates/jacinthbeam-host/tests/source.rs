//! Whom a host asks for the news of the store.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_host::process::peers::source::{Answer, LOST_AFTER, Neighbours, Source, Sources};
use jacinthbeam_types::prelude::*;

fn host(n: u16) -> (HostId, SocketAddr) {
    (format!("h{n}").parse().unwrap(), format!("127.0.0.1:{n}").parse().unwrap())
}

/// The first of several.
fn first(addrs: &[SocketAddr]) -> Option<SocketAddr> {
    addrs.first().copied()
}

fn fresh(reads_store: bool) -> Answer {
    Answer { age: Duration::from_millis(100), reads_store }
}

/// A server gets requests 2.9 s after the store took the word of its leaving, where 2 s are allowed.
///
/// The first host of a failure domain was silent for a moment. All others passed it over, each for the one before itself, and the word then
/// went from host to host down the domain: each asked one that asked another. Only hosts that read the store may be followed.
#[test]
fn news_pass_one_host_on_their_way() {
    assert!(fresh(true).is_worth_following());
    assert!(!fresh(false).is_worth_following(), "a chain begins");
    let old = Answer { age: LOST_AFTER + Duration::from_millis(1), reads_store: true };
    assert!(!old.is_worth_following());
}

/// The store turns the first host of a failure domain away and serves the others there. The second passes it over and reads the store, and
/// the first asks in its own domain: asked elsewhere, everything would cross the border, also for those behind it.
#[test]
fn a_host_that_is_turned_away_asks_in_its_own_domain() {
    let now = Instant::now();
    let mut sources = Sources::default();
    let neighbours =
        Neighbours { before: Vec::new(), near: vec![host(2), host(3)], far: vec![host(7)] };
    let choose =
        |sources: &mut Sources, now, lost| sources.choose(now, &neighbours, lost, &[], first);
    assert_eq!(choose(&mut sources, now, false), Source::Store);
    assert_eq!(choose(&mut sources, now, true), Source::Helper(host(2).1));
    // None of them knows more: the whole domain is turned away.
    sources.was_behind(host(2).1, now);
    sources.was_behind(host(3).1, now);
    assert_eq!(choose(&mut sources, now, true), Source::Helper(host(7).1));
    sources.was_behind(host(7).1, now);
    assert_eq!(choose(&mut sources, now, true), Source::Store);
    let later = now + Duration::from_secs(2);
    assert_eq!(choose(&mut sources, later, true), Source::Helper(host(2).1));
}

/// Hosts stand in the order of their names, and one that is of no use is passed over for some seconds.
#[test]
fn the_first_host_that_is_of_use_is_asked() {
    let now = Instant::now();
    let mut sources = Sources::default();
    let neighbours = Neighbours {
        before: vec![host(1), host(2)],
        near: vec![host(1), host(2), host(4)],
        far: Vec::new(),
    };
    let choose = |sources: &mut Sources, now| sources.choose(now, &neighbours, false, &[], first);
    let before = |n| Source::Before(host(n).0, host(n).1);
    assert_eq!(choose(&mut sources, now), before(1));
    sources.pass_over(host(1).0, now);
    assert_eq!(choose(&mut sources, now), before(2));
    sources.pass_over(host(2).0, now);
    assert_eq!(choose(&mut sources, now), Source::Store);
    assert_eq!(choose(&mut sources, now + Duration::from_secs(4)), before(1));
}

/// A host that has just started while the store turns it away knows nobody, and asks those that its settings name.
#[test]
fn seeds_are_asked_while_nobody_is_known() {
    let now = Instant::now();
    let seeds = [host(9).1];
    let mut sources = Sources::default();
    let nobody = Neighbours::default();
    assert_eq!(sources.choose(now, &nobody, true, &seeds, first), Source::Helper(host(9).1));
    let somebody = Neighbours { far: vec![host(7)], ..Neighbours::default() };
    assert_eq!(sources.choose(now, &somebody, true, &seeds, first), Source::Helper(host(7).1));
}

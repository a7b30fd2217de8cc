//! What waits for the control thread, and in which order it is taken.

use std::time::{Duration, Instant};

use jacinthbeam_host::process::inbox::{Inbox, InputKind, Waiting};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Input {
    Config,
    Answer(u32),
    Load(u32),
    Tick,
}

fn kind(input: &Input) -> InputKind {
    match input {
        Input::Config => InputKind::StoreState,
        Input::Answer(_) => InputKind::Other,
        Input::Load(_) => InputKind::Report,
        Input::Tick => InputKind::Tick,
    }
}

/// Inputs that a host which grants the keys of 167 servers to 83 hosts gets in a second: reports of load, answers to grants.
const A_SECOND: u32 = 700;

/// Time that a host takes for one of them, assumed: it has just enough processor for what comes, and works off no backlog.
const TAKES: Duration = Duration::from_micros(1430);

fn add(inbox: &mut Inbox<Input>, input: Input, since: Instant) {
    inbox.push(Waiting { input, since });
}

/// Callers are refused with 404 since their route is not known, 2.5 s after the operator was told that it is in force, at one host.
///
/// The host has begun to grant the keys of a large service, and has a tenth of a core. What it has to do for each report and each
/// answer piles up, three seconds of it. A configuration that comes then waits behind all of that, while the traffic thread goes on
/// with the older one. In plays of such a day it was only the granting host that heard late, and a wait of what the store says and the
/// age of what the host knew grew together.
#[test]
fn what_the_store_says_is_taken_before_whatever_waits() {
    let begun = Instant::now();
    let mut inbox = Inbox::new(kind);
    (0..3 * A_SECOND).for_each(|n| add(&mut inbox, Input::Answer(n), begun));
    add(&mut inbox, Input::Config, begun);

    let mut now = begun;
    while !inbox.is_empty() {
        for waiting in inbox.next_batch() {
            if waiting.input == Input::Config {
                let waited = now - begun;
                assert!(waited < Duration::from_millis(100), "the configuration waited {waited:?}");
                return;
            }
            now += TAKES;
        }
    }
    panic!("the configuration was not taken");
}

/// The same host hears of a configuration while it does what has piled up. It looks at what came only between two rounds, so a round has
/// to be short.
#[test]
fn what_the_store_says_waits_for_a_short_round_only() {
    let begun = Instant::now();
    let mut inbox = Inbox::new(kind);
    (0..3 * A_SECOND).for_each(|n| add(&mut inbox, Input::Answer(n), begun));
    let round = inbox.next_batch().len() as u32 * TAKES;
    assert!(round < Duration::from_millis(100), "a round takes {round:?}");
}

/// A tick says that time has passed; one is as good as many.
#[test]
fn ticks_that_wait_are_one() {
    let begun = Instant::now();
    let mut inbox = Inbox::new(kind);
    for n in 0..3 {
        add(&mut inbox, Input::Tick, begun);
        add(&mut inbox, Input::Answer(n), begun);
    }
    let taken: Vec<Input> = inbox.next_batch().into_iter().map(|waiting| waiting.input).collect();
    assert_eq!(taken.iter().filter(|input| **input == Input::Tick).count(), 1);
    assert_eq!(taken.len(), 4);
}

/// A host that grants has no time for all that 83 others tell it of their load four times a second. What they saw lately counts, so the
/// oldest is left out, and what it has to do for its own grants is not.
#[test]
fn of_too_many_reports_the_oldest_are_left_out() {
    let begun = Instant::now();
    let mut inbox = Inbox::new(kind);
    let left_out =
        (0..2000).filter(|n| inbox.push(Waiting { input: Input::Load(*n), since: begun }));
    let left_out = left_out.count();
    (0..100).for_each(|n| add(&mut inbox, Input::Answer(n), begun));
    let mut taken = Vec::new();
    while !inbox.is_empty() {
        taken.extend(inbox.next_batch().into_iter().map(|waiting| waiting.input));
    }
    let loads = taken.iter().filter(|input| matches!(input, Input::Load(_)));
    assert_eq!(loads.clone().count() + left_out, 2000);
    assert_eq!(
        loads.max_by_key(|input| if let Input::Load(n) = input { *n } else { 0 }),
        Some(&Input::Load(1999))
    );
    assert!(left_out > 1000);
    assert_eq!(taken.iter().filter(|input| matches!(input, Input::Answer(_))).count(), 100);
}

//! The order in which the control thread processes its inputs.

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

/// Inputs per second of a grantor with 167 servers and 83 hosts: load reports and responses to grants.
const INPUTS_PER_SECOND: u32 = 700;

/// Assumed processing time of one input. At this value the host just keeps up with its inputs and can't reduce a backlog.
const TIME_PER_INPUT: Duration = Duration::from_micros(1430);

fn add(inbox: &mut Inbox<Input>, input: Input, since: Instant) {
    inbox.push(Waiting { input, since });
}

/// Guards against a host that refused requests with 404 for an unknown route 2.5 s after the operator was told that the configuration
/// was in force.
///
/// The host had become the grantor of a large service, with a tenth of a core, and had a backlog of three seconds of load reports
/// and responses. A configuration that arrived then waited behind the backlog, while the traffic thread used the older one. In
/// simulations only the grantor was late, and the wait of store state in its queue grew together with the staleness of its data.
#[test]
fn store_state_is_processed_before_the_backlog() {
    let start = Instant::now();
    let mut inbox = Inbox::new(kind);
    (0..3 * INPUTS_PER_SECOND).for_each(|n| add(&mut inbox, Input::Answer(n), start));
    add(&mut inbox, Input::Config, start);

    let mut now = start;
    while !inbox.is_empty() {
        for waiting in inbox.next_batch() {
            if waiting.input == Input::Config {
                let waited = now - start;
                assert!(waited < Duration::from_millis(100), "the configuration waited {waited:?}");
                return;
            }
            now += TIME_PER_INPUT;
        }
    }
    panic!("the configuration was not processed");
}

/// Guards against a configuration that waits for a long batch: new inputs are looked at only between two batches.
#[test]
fn a_batch_of_a_backlog_is_short() {
    let start = Instant::now();
    let mut inbox = Inbox::new(kind);
    (0..3 * INPUTS_PER_SECOND).for_each(|n| add(&mut inbox, Input::Answer(n), start));
    let batch_time = inbox.next_batch().len() as u32 * TIME_PER_INPUT;
    assert!(batch_time < Duration::from_millis(100), "a batch takes {batch_time:?}");
}

/// Guards against a backlog of ticks. A tick only says that time has passed, so one replaces all that are queued.
#[test]
fn queued_ticks_are_merged() {
    let start = Instant::now();
    let mut inbox = Inbox::new(kind);
    for n in 0..3 {
        add(&mut inbox, Input::Tick, start);
        add(&mut inbox, Input::Answer(n), start);
    }
    let processed: Vec<Input> =
        inbox.next_batch().into_iter().map(|waiting| waiting.input).collect();
    assert_eq!(processed.iter().filter(|input| **input == Input::Tick).count(), 1);
    assert_eq!(processed.len(), 4);
}

/// Guards against load reports that crowd out the grants of a grantor. It can't process all reports of 83 hosts, four per second each.
/// The latest ones matter, so the oldest are dropped, and responses to grants never are.
#[test]
fn the_oldest_load_reports_are_dropped_first() {
    let start = Instant::now();
    let mut inbox = Inbox::new(kind);
    let dropped =
        (0..2000).filter(|n| inbox.push(Waiting { input: Input::Load(*n), since: start }));
    let dropped = dropped.count();
    (0..100).for_each(|n| add(&mut inbox, Input::Answer(n), start));
    let mut processed = Vec::new();
    while !inbox.is_empty() {
        processed.extend(inbox.next_batch().into_iter().map(|waiting| waiting.input));
    }
    let loads = processed.iter().filter(|input| matches!(input, Input::Load(_)));
    assert_eq!(loads.clone().count() + dropped, 2000);
    assert_eq!(
        loads.max_by_key(|input| if let Input::Load(n) = input { *n } else { 0 }),
        Some(&Input::Load(1999))
    );
    assert!(dropped > 1000);
    assert_eq!(processed.iter().filter(|input| matches!(input, Input::Answer(_))).count(), 100);
}

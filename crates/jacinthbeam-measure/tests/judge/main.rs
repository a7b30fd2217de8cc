//! The judge finds what is broken, and nothing else.

mod ownership;
mod requests;
mod unavailable;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam::{platform::format::backend::SlotSet, types::prelude::*};
use jacinthbeam_measure::{
    judge::ServerRecord,
    load::{Answered, Ended, Kind, Note},
};
use jacinthbeam_standin::backend::{Holding, Outcome, Run, Summary};

/// A name of any kind.
fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("tests use proper names")
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(id: &str, runs: Vec<Run>, holdings: Vec<Holding>) -> ServerRecord {
    let summary = Summary { refused: BTreeMap::new(), ..Summary::default() };
    ServerRecord { id: name(id), service: name("orders"), concurrency: 3, runs, holdings, summary }
}

fn holding(slots: &[u32], from: Instant, until: Instant) -> Holding {
    let slots: SlotSet = slots.iter().copied().map(SlotId).collect();
    Holding { slots, token: Token(1), from, until }
}

fn request(sequence: u64) -> RequestId {
    RequestId { incarnation: Incarnation(1), sequence }
}

fn run(path: &str, sequence: u64, at: Instant, outcome: Outcome) -> Run {
    Run {
        request: Some(request(sequence)),
        key: String::new(),
        path: path.to_owned(),
        slot: Some(SlotId(7)),
        token: Some(Token(1)),
        at_start: at,
        at_effect: (outcome == Outcome::Ran).then_some(at),
        at_end: at,
        outcome,
    }
}

fn note(path: &str, sequence: u64, verdict: Verdict, at: Instant) -> Note {
    let answered = Answered {
        status: if verdict == Verdict::Ran { 200 } else { 503 },
        verdict: Some(verdict),
        request: Some(request(sequence)),
        refusal: String::new(),
        own: true,
    };
    Note {
        kind: Kind::Order,
        service: name("orders"),
        key: "k".into(),
        path: path.to_owned(),
        remembered: false,
        host: name("entry-a-0"),
        sent: at,
        ended_at: at,
        ended: Ended::Answered(answered),
    }
}

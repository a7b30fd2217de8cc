//! What was promised, compared with what backend servers ran.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use jacinthbeam_standin::backend::Run;

use crate::load::{Note, Told};

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// No two servers work for one key at the same time.
    OneOwner,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// What is said not to have run has not run.
    NotRunIsTrue,
    /// What is answered has run.
    RanIsTrue,
}

impl Promise {
    /// The promise as a sentence.
    pub fn text(self) -> &'static str {
        match self {
            Self::OneOwner => "no two servers work for one key at the same time",
            Self::AtMostOnce => "a request that is not idempotent runs at most once",
            Self::NotRunIsTrue => "what is said not to have run has not run",
            Self::RanIsTrue => "what is answered has run",
        }
    }

    /// All promises.
    pub const ALL: [Self; 4] =
        [Self::OneOwner, Self::AtMostOnce, Self::NotRunIsTrue, Self::RanIsTrue];
}

/// Where each promise was broken.
pub fn broken(notes: &[Note], runs: &[Run]) -> BTreeMap<Promise, Vec<String>> {
    let mut broken: BTreeMap<Promise, Vec<String>> = BTreeMap::new();
    let mut by_id: BTreeMap<&[u8], u32> = BTreeMap::new();
    for run in runs {
        *by_id.entry(run.request.as_bytes()).or_default() += 1;
    }
    for note in notes {
        let ran = by_id.get(note.ask.id.as_bytes()).copied().unwrap_or(0);
        let mut tell = |promise: Promise| {
            let text = format!("{} ran {ran} times, its caller heard {:?}", note.ask.id, note.told);
            broken.entry(promise).or_default().push(text);
        };
        if !note.ask.idempotent && ran > 1 {
            tell(Promise::AtMostOnce);
        }
        match note.told {
            Told::NotRun if ran > 0 => tell(Promise::NotRunIsTrue),
            Told::Ran if ran == 0 => tell(Promise::RanIsTrue),
            _ => {}
        }
    }
    let clashes = clashes(runs);
    if !clashes.is_empty() {
        broken.insert(Promise::OneOwner, clashes);
    }
    broken
}

/// Runs of one key at two servers that overlap in time.
fn clashes(runs: &[Run]) -> Vec<String> {
    let mut by_key: BTreeMap<(&str, u16), Vec<&Run>> = BTreeMap::new();
    for run in runs {
        let Some(key) = run.key else { continue };
        // Servers are named as their service and a number.
        let service =
            run.server.name().as_str().rsplit_once('-').map_or("", |(service, _)| service);
        by_key.entry((service, key.0)).or_default().push(run);
    }
    let mut found = Vec::new();
    for ((service, key), mut runs) in by_key {
        runs.sort_by_key(|run| run.begun);
        for (at, run) in runs.iter().enumerate() {
            let later = runs[at + 1..].iter().take_while(|other| other.begun < run.ended);
            found.extend(later.filter(|other| other.server != run.server).map(|other| {
                let (a, b) = (&run.server, &other.server);
                format!("key {key} of {service} at {a} and {b}")
            }));
        }
    }
    found
}

/// Longest time without a success among requests that `affected` picks, from `begun` on.
pub fn unavailable(notes: &[Note], affected: impl Fn(&Note) -> bool, begun: Instant) -> Duration {
    let good = notes.iter().filter(|note| note.told == Told::Ran && affected(note));
    let mut times: Vec<Instant> = good.map(|note| note.ended).chain([begun]).collect();
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

/// Longest time of an answer that the histogram tells apart, in microseconds; callers wait for less.
const LONGEST_US: u64 = 60_000_000;

/// Time of an answer in the middle, and at the 99th of 100. Zero if nothing was answered.
pub fn latency(notes: &[Note]) -> (Duration, Duration) {
    let mut times = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3)
        .expect("the bounds are those that a histogram takes");
    for note in notes.iter().filter(|note| note.told == Told::Ran) {
        times.saturating_record((note.ended - note.sent).as_micros() as u64);
    }
    let at = |quantile| Duration::from_micros(times.value_at_quantile(quantile));
    (at(0.5), at(0.99))
}

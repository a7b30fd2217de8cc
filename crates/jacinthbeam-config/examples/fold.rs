//! Prints what folding one changed file costs, by the number of files.
//!
//! `cargo run --release -p jacinthbeam-config --example fold`. Every file holds one service; every
//! change gives one file another text. A clone of the state before it is held, as by threads that
//! serve requests.

use std::{hint::black_box, time::Instant};

use jacinthbeam_config::{
    FileName,
    change::{Base, Change, FileChange},
    fold::{Outcome, State},
};
use jacinthbeam_types::prelude::*;

const SIZES: [usize; 3] = [6, 100, 1000];
const CHANGES: usize = 200;
/// Files in the change that fills the folder, few enough for one record of the log.
const AT_ONCE: usize = 100;

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    for size in SIZES {
        let mut state = State::default();
        fill(&mut state, size)?;
        let mut times = Vec::new();
        for round in 0..CHANGES {
            let change = Change { files: vec![file(&state, round * 7 % size, round + 1)?] };
            let held = state.clone();
            let start = Instant::now();
            accept(&mut state, black_box(&change))?;
            times.push(start.elapsed());
            drop(held);
        }
        times.sort();
        let (median, last) = (times[CHANGES / 2], times[CHANGES * 99 / 100]);
        println!(
            "{size} files: a change takes {median:.1?} at the median, {last:.1?} at the 99th percentile"
        );
    }
    Ok(())
}

fn fill(state: &mut State, size: usize) -> Result<(), Failure> {
    for from in (0..size).step_by(AT_ONCE) {
        let numbers = from..(from + AT_ONCE).min(size);
        let files = numbers.map(|number| file(state, number, 0)).collect::<Result<_, _>>()?;
        accept(state, &Change { files })?;
    }
    Ok(())
}

fn accept(state: &mut State, change: &Change) -> Result<(), Failure> {
    let offset = state.version().map_or(1, |version| version.0 + 1);
    match state.apply(Offset(offset), change) {
        Outcome::Accepted(_) => Ok(()),
        other => Err(format!("not accepted: {other:?}").into()),
    }
}

/// File `number` as it is in round `round`, based on what the state holds.
fn file(state: &State, number: usize, round: usize) -> Result<FileChange, Failure> {
    let name: FileName = format!("{number:04}.jsonc").parse()?;
    let hash = state.files().get(&name).map(|file| file.hash);
    let base = Base { hash, seen: state.version() };
    let text = format!(
        r#"// The service of team {number}, as of change {round}.
{{
  "services": {{
    "service-{number}": {{
      "team": "team-{number}",
      "division": {{ "keyed": {{ "slots": 1024 }} }},
      "concurrency": 3,
      "connections": 130,
      "queue": {queue},
      "default_deadline_ms": 2000,
      "max_deadline_ms": 10000,
      "balance": {{ "policy": "threshold", "weights": {{ "unavailable": 1.0, "churn": 0.2 }} }}
    }}
  }}
}}
"#,
        queue = 32 + round % 200,
    );
    Ok(FileChange { name, base, text: Some(text) })
}

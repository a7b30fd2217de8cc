//! What came of an experiment.

use std::{collections::BTreeMap, fmt, time::Duration};

use crate::{Spent, judge::Promise};

/// One span of an experiment: calm, or a fault and the time after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The fault, or `calm`.
    pub name: String,
    /// Requests that were sent.
    pub requests: usize,
    /// Answered.
    pub ran: usize,
    /// Refused, and surely not run.
    pub not_run: usize,
    /// Failed, with no word whether they ran.
    pub may_have_run: usize,
    /// Without an answer.
    pub nothing: usize,
    /// Time of an answer, in the middle and at the 99th of 100.
    pub p50: Duration,
    /// See [`Row::p50`].
    pub p99: Duration,
    /// Longest time without a success among the requests that the fault concerns.
    pub unavailable: Duration,
    /// Whether most of these were answered again at the end.
    pub served_again: bool,
}

/// All of an experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Its spans, in order.
    pub rows: Vec<Row>,
    /// Where each promise was broken.
    pub broken: BTreeMap<Promise, Vec<String>>,
    /// Requests that backend servers ran.
    pub runs: usize,
    /// Calls to the store.
    pub calls: u64,
    /// What hosts took before the first fault, if they are processes.
    pub spent: Option<Spent>,
}

impl Report {
    /// Whether every promise was kept and everything was served again.
    pub fn is_good(&self) -> bool {
        self.broken.is_empty() && self.rows.iter().all(|row| row.served_again)
    }
}

/// Cases of a broken promise that are named.
const MOST_NAMED: usize = 5;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<15} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>14} {:>6}",
            "",
            "requests",
            "ran",
            "not-run",
            "unknown",
            "nothing",
            "p50 ms",
            "p99 ms",
            "unavailable ms",
            "again"
        )?;
        for row in &self.rows {
            let Row { name, requests, ran, not_run, may_have_run, nothing, .. } = row;
            let (gap, again) = (row.unavailable.as_millis(), row.served_again);
            let (p50, p99) = (row.p50.as_millis(), row.p99.as_millis());
            writeln!(
                f,
                "{name:<15} {requests:>8} {ran:>8} {not_run:>8} {may_have_run:>8} {nothing:>8} {p50:>7} {p99:>7} {gap:>14} {again:>6}"
            )?;
        }
        writeln!(
            f,
            "backend servers ran {}, the store was called {} times",
            self.runs, self.calls
        )?;
        if let Some(spent) = &self.spent {
            writeln!(f, "{spent}")?;
        }
        for promise in Promise::ALL {
            let cases = self.broken.get(&promise).map_or(&[][..], Vec::as_slice);
            writeln!(f, "{}: broken {} times", promise.text(), cases.len())?;
            cases.iter().take(MOST_NAMED).try_for_each(|case| writeln!(f, "  {case}"))?;
        }
        Ok(())
    }
}

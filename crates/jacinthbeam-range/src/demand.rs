//! What hosts report of the load on keys, faded so that the present counts most.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::key::{Key, KeyRange};

/// One host's counts since its last report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests for each key, those that were refused included: it is demand that is to be spread, not what was served.
    pub keys: BTreeMap<Key, u32>,
    /// What was seen of each backend server.
    pub servers: BTreeMap<ServerId, Work>,
}

/// Answers of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Whole answers that came back.
    pub answers: u32,
    /// Time from sending to the whole answer, summed over them, in microseconds.
    pub busy_us: u64,
}

/// Time after which a count has lost 63 % of its weight. A hot key has to be seen within a second or two, and 4 s of an
/// ordinary server's traffic (seven requests a second) are some 28 requests, whose counting error is below 20 %.
pub const FADE: Duration = Duration::from_secs(4);

/// Counts below this weigh nothing and are dropped, so that the table holds only keys of the last [`FADE`] times 5.
const DUST: f64 = 0.01;

/// Faded counts of all hosts. A rate of `r` a second shows as a count of `r` times [`FADE`].
#[derive(Debug, Clone, Default)]
pub struct Demand {
    keys: BTreeMap<Key, f64>,
    servers: BTreeMap<ServerId, Seen>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    answers: f64,
    busy_s: f64,
}

impl Demand {
    /// Adds a report.
    pub fn add(&mut self, report: &Report) {
        for (key, count) in &report.keys {
            *self.keys.entry(*key).or_default() += f64::from(*count);
        }
        for (server, work) in &report.servers {
            let seen = self.servers.entry(server.clone()).or_default();
            seen.answers += f64::from(work.answers);
            seen.busy_s += work.busy_us as f64 / 1e6;
        }
    }

    /// Lets all counts fade by the time that went by.
    pub fn fade(&mut self, by: Duration) {
        let left = (-by.as_secs_f64() / FADE.as_secs_f64()).exp();
        self.keys.retain(|_, count| {
            *count *= left;
            *count > DUST
        });
        self.servers.retain(|_, seen| {
            seen.answers *= left;
            seen.busy_s *= left;
            seen.answers > DUST
        });
    }

    /// Faded count of all keys in a range.
    pub fn of(&self, range: KeyRange) -> f64 {
        self.keys.range(range.first..=range.last).map(|(_, count)| count).sum()
    }

    /// The keys of a range that were asked for, ascending, with their faded counts.
    pub fn keys(&self, range: KeyRange) -> impl Iterator<Item = (Key, f64)> + '_ {
        self.keys.range(range.first..=range.last).map(|(key, count)| (*key, *count))
    }

    /// Faded count of all keys.
    pub fn total(&self) -> f64 {
        self.keys.values().sum()
    }

    /// Time that one request takes in a slot of `server`, estimated.
    ///
    /// By Little's law the requests at the server are its answers a second times their mean time. If they are more than it
    /// has slots, the surplus waited, and only the share that fits the slots was work. `None` below [`ENOUGH`] answers.
    pub fn work(&self, server: &ServerId, slots: u32) -> Option<Duration> {
        let seen = self.servers.get(server).filter(|seen| seen.answers >= ENOUGH)?;
        let mean = seen.busy_s / seen.answers;
        let at_server = seen.busy_s / FADE.as_secs_f64();
        let share = (f64::from(slots) / at_server).min(1.0);
        Some(Duration::from_secs_f64(mean * share))
    }
}

/// Answers that make a mean worth using: with a spread of a third, the error of a mean of 6 is some 14 %.
const ENOUGH: f64 = 6.0;

//! What the experiment found, for people and for programs.

use std::{collections::BTreeMap, fmt, time::Duration};

use jacinthbeam::{config::Service, types::prelude::*};
use serde::Serialize;

use super::generate::Counts;
use crate::statistic::{millis, quantile};

/// Reasons of refusals that are printed of each service.
const MOST_REASONS: usize = 3;

/// What the experiment found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Time that a backend server takes for a request.
    pub service_time: Duration,
    /// Levels in the order in which they ran.
    pub levels: Vec<Level>,
}

/// One multiple of the capacity.
#[derive(Debug, Serialize)]
pub struct Level {
    /// The multiple.
    pub multiple: f64,
    /// By service.
    pub services: BTreeMap<ServiceName, ServiceLevel>,
    /// Requests a second that backend servers ran.
    pub ran_a_second: f64,
    /// Cores that all entry hosts used together.
    pub entry_hosts_cores: f64,
    /// Load average of the machine at the end.
    pub load_average: f64,
}

/// One service at one level.
#[derive(Debug, Serialize)]
pub struct ServiceLevel {
    /// Requests a second that were wanted.
    pub offered: f64,
    /// Answers a second that came within the deadline.
    pub goodput: f64,
    /// Median latency of the answered, in milliseconds.
    pub p50_ms: f64,
    /// Latency that 99 in 100 of the answered kept, in milliseconds.
    pub p99_ms: f64,
    /// Deadline in milliseconds.
    pub deadline_ms: f64,
    /// Answers that came after the deadline.
    pub late: usize,
    /// Refusals that say that the request did not run, by their text.
    pub not_run: BTreeMap<String, u64>,
    /// Refusals that say that the request may have run, by their text.
    pub may_have_run: BTreeMap<String, u64>,
    /// Connections that broke, and answers that never came.
    pub broken: u64,
    /// Requests that the generator did not send, since too many were open.
    pub not_sent: u64,
    /// Requests that may wait for each backend server.
    pub queue: u32,
}

impl ServiceLevel {
    pub(super) fn new(
        counts: &Counts,
        offered: f64,
        deadline: Duration,
        cfg: &Service,
        lasts: Duration,
    ) -> Self {
        let latencies: Vec<f64> = counts.answered.iter().copied().map(millis).collect();
        let late = counts.answered.iter().filter(|took| **took > deadline).count();
        Self {
            offered,
            goodput: (latencies.len() - late) as f64 / lasts.as_secs_f64(),
            p50_ms: quantile(&latencies, 0.5),
            p99_ms: quantile(&latencies, 0.99),
            deadline_ms: millis(deadline),
            late,
            not_run: counts.not_run.clone(),
            may_have_run: counts.may_have_run.clone(),
            broken: counts.broken,
            not_sent: counts.not_sent,
            queue: cfg.queue,
        }
    }
}

impl Level {
    /// Answers a second that came within their deadline, of all services.
    pub fn goodput(&self) -> f64 {
        self.services.values().map(|service| service.goodput).sum()
    }
}

impl Report {
    /// Goodput at the highest level as a share of that at capacity.
    pub fn kept(&self) -> Option<f64> {
        let at_capacity = self.levels.iter().find(|level| level.multiple == 1.0)?;
        let highest = self.levels.iter().max_by(|a, b| a.multiple.total_cmp(&b.multiple))?;
        Some(highest.goodput() / at_capacity.goodput())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, {:?} a request at a backend server", self.deployment, self.service_time)?;
        writeln!(
            f,
            "level  service     offered/s  goodput/s   p50 ms   p99 ms  deadline   late   not-run  may-have-run  broken  unsent"
        )?;
        for level in &self.levels {
            for (service, at) in &level.services {
                writeln!(
                    f,
                    "{:5}  {:10}  {:9.0}  {:9.0}  {:7.0}  {:7.0}  {:8.0}  {:5}  {:8}  {:12}  {:6}  {:6}",
                    level.multiple,
                    service.as_str(),
                    at.offered,
                    at.goodput,
                    at.p50_ms,
                    at.p99_ms,
                    at.deadline_ms,
                    at.late,
                    at.not_run.values().sum::<u64>(),
                    at.may_have_run.values().sum::<u64>(),
                    at.broken,
                    at.not_sent
                )?;
                reasons(f, "not run", &at.not_run)?;
                reasons(f, "may have run", &at.may_have_run)?;
            }
            writeln!(
                f,
                "{:5}  all: goodput {:.0}/s, backend servers ran {:.0}/s, entry hosts used {:.2} cores, load average {:.1}",
                level.multiple,
                level.goodput(),
                level.ran_a_second,
                level.entry_hosts_cores,
                level.load_average
            )?;
        }
        match self.kept() {
            Some(kept) => {
                write!(f, "goodput at the highest level: {:.1} % of that at capacity", kept * 100.0)
            }
            None => Ok(()),
        }
    }
}

fn reasons(
    f: &mut fmt::Formatter<'_>,
    verdict: &str,
    reasons: &BTreeMap<String, u64>,
) -> fmt::Result {
    let mut most: Vec<_> = reasons.iter().collect();
    most.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (why, count) in most.into_iter().take(MOST_REASONS) {
        writeln!(f, "         {count:8} {verdict}: {why}")?;
    }
    Ok(())
}

//! What this process costs the machine, read from `/proc`; where there is none, everything is 0.

use std::{collections::BTreeMap, fs, time::Duration};

use jacinthbeam::types::prelude::*;
use serde::Serialize;

/// Names of the threads of an entry host.
const CONTROL: &str = "control";
const TRAFFIC: &str = "traffic";

/// Processor time that the threads of this process have used so far.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct ProcessorTime {
    /// Control threads of all entry hosts.
    pub control: Duration,
    /// Traffic threads of all entry hosts.
    pub traffic: Duration,
    /// All other threads: callers and stand-ins.
    pub others: Duration,
}

impl ProcessorTime {
    /// Reads it. Threads that have ended are missing, so nothing may stop between two readings.
    pub fn now() -> Self {
        let mut by_name: BTreeMap<String, Duration> = BTreeMap::new();
        for task in fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
            let path = task.path();
            let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
            let stat = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
            let used = stat.split_whitespace().next().and_then(|nanos| nanos.parse().ok());
            *by_name.entry(name.trim().to_owned()).or_default() +=
                Duration::from_nanos(used.unwrap_or(0));
        }
        let mut take = |name: &str| by_name.remove(name).unwrap_or_default();
        let (control, traffic) = (take(CONTROL), take(TRAFFIC));
        Self { control, traffic, others: by_name.values().sum() }
    }

    /// What was used since an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            control: self.control.saturating_sub(earlier.control),
            traffic: self.traffic.saturating_sub(earlier.traffic),
            others: self.others.saturating_sub(earlier.others),
        }
    }

    /// Of all entry hosts together.
    pub fn entry_hosts(&self) -> Duration {
        self.control + self.traffic
    }
}

/// Resident memory of this process.
pub fn resident() -> Bytes {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: u64 = line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).unwrap_or(0);
    Bytes(kib << 10)
}

/// Bytes that the loopback interface of this network namespace has carried, headers included.
///
/// They are this process's own only in a namespace of its own; see `docs/MEASUREMENTS.md`.
pub fn loopback() -> Bytes {
    let devices = fs::read_to_string("/proc/self/net/dev").unwrap_or_default();
    let line = devices.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    Bytes(received.unwrap_or(0))
}

/// Load average of the machine over the last minute. Other work on it makes every time longer.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

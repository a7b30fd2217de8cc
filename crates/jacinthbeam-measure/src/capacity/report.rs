//! What the experiment found, for people and for programs.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use super::Vary;
use crate::statistic::slope;

/// What the experiment found.
#[derive(Debug)]
pub struct Report {
    /// What was varied.
    pub vary: Vary,
    /// One row for each size.
    pub rows: Vec<Row>,
}

/// One size.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Row {
    /// Measured on entry hosts.
    Host(HostCost),
    /// Timed without a host.
    Timed(Timed),
}

/// What one entry host costs at one size.
#[derive(Debug, Clone, Serialize)]
pub struct HostCost {
    /// The size.
    pub size: u32,
    /// Share of a core that its control thread uses.
    pub control: f64,
    /// Share of a core that its traffic threads use for the peers of the control thread.
    pub traffic: f64,
    /// Bytes a second over loopback for each host, headers included, each byte counted once.
    pub bytes: f64,
    /// Records a second that all hosts together append to the control stream.
    pub control_appends: f64,
    /// Records a second that all hosts together append to the stream of usage.
    pub usage_appends: f64,
    /// Reads of the log a second by each host.
    pub reads: f64,
    /// Bytes of memory of one more host.
    pub memory: f64,
    /// Load average of the machine.
    pub load_average: f64,
}

/// Values that were timed at one size.
#[derive(Debug, Serialize)]
pub struct Timed {
    size: u32,
    values: BTreeMap<&'static str, f64>,
}

impl Timed {
    pub(super) fn new(size: u32, values: Vec<(&'static str, f64)>) -> Self {
        Self { size, values: values.into_iter().collect() }
    }
}

impl Row {
    fn size(&self) -> u32 {
        match self {
            Self::Host(cost) => cost.size,
            Self::Timed(timed) => timed.size,
        }
    }

    /// The values of the row by the names that they are printed with.
    fn values(&self) -> Vec<(&'static str, f64)> {
        match self {
            Self::Host(cost) => vec![
                ("control % of a core", cost.control * 100.0),
                ("traffic % of a core", cost.traffic * 100.0),
                ("KB/s", cost.bytes / 1e3),
                ("reads/s", cost.reads),
                ("control appends/s in all", cost.control_appends),
                ("usage appends/s in all", cost.usage_appends),
                ("memory KB", cost.memory / 1e3),
                ("load average", cost.load_average),
            ],
            Self::Timed(timed) => {
                timed.values.iter().map(|(name, value)| (*name, *value)).collect()
            }
        }
    }
}

impl Serialize for Report {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(&self.rows)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.rows.first() else { return Ok(()) };
        write!(f, "{:>10}", self.vary.as_str())?;
        let names: Vec<&str> = first.values().into_iter().map(|(name, _)| name).collect();
        for name in &names {
            write!(f, "  {name}")?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "{:>10}", row.size())?;
            for (name, value) in row.values() {
                write!(f, "  {value:width$.2}", width = name.len())?;
            }
            writeln!(f)?;
        }
        write!(f, "{:>10}", "slope")?;
        for (at, name) in names.iter().enumerate() {
            let point = |row: &Row| (f64::from(row.size()), row.values()[at].1);
            let points: Vec<(f64, f64)> = self.rows.iter().map(point).collect();
            write!(f, "  {:width$.5}", slope(&points), width = name.len())?;
        }
        writeln!(f)
    }
}

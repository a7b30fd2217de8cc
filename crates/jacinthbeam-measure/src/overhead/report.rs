//! What the experiment found, for people and for programs.

use std::{collections::BTreeMap, fmt};

use serde::{Serialize, Serializer, ser::SerializeSeq};

use super::{Memory, Path, Phase};

/// What the experiment found.
#[derive(Debug)]
pub struct Report {
    /// By number of callers and path.
    pub phases: BTreeMap<(usize, Path), Phase>,
    /// Memory of open requests by path.
    pub memory: BTreeMap<Path, Memory>,
    /// Load average before and after.
    pub load: (f64, f64),
}

/// One line of the report.
#[derive(Debug, Serialize)]
struct Row {
    callers: usize,
    path: String,
    requests: u64,
    failed: u64,
    requests_a_second: f64,
    median_us: u64,
    p99_us: u64,
    median_of_rounds_us: Vec<f64>,
    router_us_a_request: f64,
    others_us_a_request: f64,
}

impl Report {
    fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.phases.iter().map(|((callers, path), phase)| Row {
            callers: *callers,
            path: path.to_string(),
            requests: phase.latencies.len(),
            failed: phase.failed,
            requests_a_second: phase.rate(),
            median_us: phase.latencies.value_at_quantile(0.5),
            p99_us: phase.latencies.value_at_quantile(0.99),
            median_of_rounds_us: phase.medians.clone(),
            router_us_a_request: phase.router_micros(),
            others_us_a_request: phase.others_micros(),
        })
    }

    /// Bytes of one open request that are the router's own.
    pub fn router_bytes(&self, path: Path) -> Option<f64> {
        let direct = self.memory.get(&Path::Direct)?.bytes_a_request;
        Some(self.memory.get(&path)?.bytes_a_request - direct)
    }
}

impl Serialize for Report {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut seq = serializer.serialize_seq(None)?;
        for row in self.rows() {
            seq.serialize_element(&row)?;
        }
        for (path, memory) in &self.memory {
            seq.serialize_element(&(path.to_string(), memory))?;
        }
        seq.end()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "load average {:.1} before, {:.1} after", self.load.0, self.load.1)?;
        writeln!(
            f,
            "callers  path       requests  failed     req/s  p50 us  p99 us  rounds' p50 us          router us  others us  req/s per core"
        )?;
        for row in self.rows() {
            let rounds: Vec<String> =
                row.median_of_rounds_us.iter().map(|us| format!("{us:.0}")).collect();
            let per_core = match row.router_us_a_request > 1.0 {
                true => format!("{:.0}", 1e6 / row.router_us_a_request),
                false => "-".into(),
            };
            writeln!(
                f,
                "{:7}  {:9}  {:8}  {:6}  {:8.0}  {:6}  {:6}  {:22}  {:9.1}  {:9.1}  {per_core:>14}",
                row.callers,
                row.path,
                row.requests,
                row.failed,
                row.requests_a_second,
                row.median_us,
                row.p99_us,
                rounds.join(" "),
                row.router_us_a_request,
                row.others_us_a_request
            )?;
        }
        for (path, memory) in &self.memory {
            let points: Vec<String> = memory
                .points
                .iter()
                .map(|(open, bytes)| format!("{open}: {} KiB", bytes >> 10))
                .collect();
            write!(f, "open request, {path:9}: {:7.0} bytes", memory.bytes_a_request)?;
            if let Some(own) = self.router_bytes(*path).filter(|_| *path != Path::Direct) {
                write!(f, ", {own:7.0} of them the router's")?;
            }
            writeln!(f, " ({})", points.join(", "))?;
        }
        Ok(())
    }
}

//! The timeline of one request, collected from the log lines of many hosts.
//!
//! The request's own lines name the servers that it was sent to. The timeline adds what hosts logged about these servers shortly
//! before and after: that they joined or left, that their ranges moved, that they stopped responding. Of the exchange of load, it adds the
//! lines about the request's services.

use std::{collections::BTreeSet, fmt, fs, io, path::Path};

use serde_json::{Map, Value};

/// Seconds before and after the request within which other lines belong to its timeline.
const CONTEXT_WINDOW_S: f64 = 5.0;

/// Values of `part` whose lines about servers, owners and configuration belong to a timeline.
const CONTEXT: [&str; 9] =
    ["servers", "grant", "maps", "config", "feed", "duty", "backpressure", "partition", "load"];

/// One line of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Name of the host, taken from the name of its log file.
    pub host: String,
    /// Seconds since midnight.
    at: f64,
    fields: Map<String, Value>,
}

/// Why the timeline of a request could not be built.
#[derive(Debug)]
pub enum Error {
    /// A log can't be read.
    File {
        /// Path of the log.
        path: String,
        /// Cause.
        err: io::Error,
    },
    /// No line names the request.
    Unknown {
        /// Id of the request.
        id: String,
        /// Number of lines read.
        lines: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, err } => write!(f, "{path} can't be read: {err}"),
            Self::Unknown { id, lines } => write!(
                f,
                "none of {lines} lines names request {id}: pass the logs of all hosts that may have received it; \
                 of requests that succeeded at the first attempt, only one in ten is logged"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Line {
    /// Parses a log line of `host`. Returns `None` unless it holds a JSON object with a timestamp.
    pub fn read(host: &str, text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let at = seconds(fields.get("timestamp")?.as_str()?)?;
        Some(Self { host: host.to_owned(), at, fields })
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_about(&self, id: &str) -> bool {
        self.get("id").is_some_and(|named| named.trim_matches('"') == id)
    }
}

/// Returns the seconds since midnight of a timestamp like `2026-12-02T19:33:35.123456Z`.
fn seconds(time: &str) -> Option<f64> {
    let time = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    Some(parts.next()?? * 3600.0 + parts.next()?? * 60.0 + parts.next()??)
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.get("timestamp").unwrap_or("-"), self.host)?;
        for name in ["part", "event"] {
            write!(f, " {}", self.get(name).unwrap_or("-"))?;
        }
        let omitted = ["timestamp", "level", "target", "part", "event", "id"];
        for (name, value) in
            self.fields.iter().filter(|(name, _)| !omitted.contains(&name.as_str()))
        {
            match value {
                Value::Null => {}
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Returns the timeline of request `id` from one log file per host, named after the host: `HOST.EXTENSION`.
pub fn from_files(id: &str, paths: &[impl AsRef<Path>]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in paths {
        let path = path.as_ref();
        let text = fs::read_to_string(path)
            .map_err(|err| Error::File { path: path.display().to_string(), err })?;
        let host = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
        lines.extend(text.lines().filter_map(|line| Line::read(&host, line)));
    }
    timeline(id, lines)
}

/// Returns the lines that belong to request `id`, ordered by time.
///
/// These are its own lines, and those within `CONTEXT_WINDOW_S` that are about a server it was sent to, or that name no server
/// and come from a host that logged the request. Lines about the load of services that it is not for are left out.
pub fn timeline(id: &str, lines: Vec<Line>) -> Result<Vec<Line>, Error> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let started = own.iter().map(|line| line.at - took_s(line)).fold(f64::INFINITY, f64::min);
    let ended = own.iter().map(|line| line.at).fold(0.0, f64::max);
    if own.is_empty() {
        return Err(Error::Unknown { id: id.to_owned(), lines: lines.len() });
    }
    let servers: BTreeSet<String> =
        own.iter().filter_map(|line| line.get("server")).map(str::to_owned).collect();
    let services: BTreeSet<String> =
        own.iter().filter_map(|line| line.get("service")).map(str::to_owned).collect();
    let hosts: BTreeSet<String> = own.iter().map(|line| line.host.clone()).collect();
    let belongs = |line: &Line| {
        if line.is_about(id) {
            return true;
        }
        let is_near = line.at > started - CONTEXT_WINDOW_S && line.at < ended + CONTEXT_WINDOW_S;
        let is_context = line.get("part").is_some_and(|part| CONTEXT.contains(&part));
        let is_other_load = line.get("part") == Some("load")
            && line.get("service").is_some_and(|service| !services.contains(service));
        // A line about a batch of servers lists them in one field.
        let named = line.get("server").or_else(|| line.get("servers"));
        let is_about_server =
            named.map(|named| named.split(' ').any(|server| servers.contains(server)));
        is_near
            && is_context
            && !is_other_load
            && is_about_server.unwrap_or_else(|| hosts.contains(&line.host))
    };
    let mut timeline: Vec<Line> = lines.into_iter().filter(belongs).collect();
    timeline.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(timeline)
}

fn took_s(line: &Line) -> f64 {
    line.fields.get("took_ms").and_then(Value::as_f64).unwrap_or(0.0) / 1e3
}

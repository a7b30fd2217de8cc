//! The story of one request, put together from the log lines of many hosts.
//!
//! A request's own lines name the servers that it was sent to. What hosts said of these servers shortly before and after is
//! the other half of the story: that they joined or left, that their keys moved, that they fell silent.

use std::{collections::BTreeSet, fmt, fs, io, path::Path};

use serde_json::{Map, Value};

/// How far from the request's own lines others still belong to its story.
const AROUND_S: f64 = 5.0;

/// Parts of the program whose lines about servers, owners and what is known belong to a story.
const CONTEXT: [&str; 6] = ["servers", "grant", "maps", "config", "feed", "duty"];

/// One line of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The host, as the file of its log is named.
    pub host: String,
    /// Seconds within the day.
    at: f64,
    fields: Map<String, Value>,
}

/// Why a request has no story.
#[derive(Debug)]
pub enum Error {
    /// A log can't be read.
    File {
        /// Its path.
        path: String,
        /// Why not.
        err: io::Error,
    },
    /// No line names it.
    Unknown {
        /// The request.
        id: String,
        /// Lines that were read.
        lines: usize,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, err } => write!(f, "{path} can't be read: {err}"),
            Self::Unknown { id, lines } => write!(
                f,
                "none of {lines} lines names request {id}: give the logs of all hosts that may have taken it; \
                 one that was answered well at the first send is told for one in ten only"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Line {
    /// Reads a line of the log of `host`. `None` for a line that is no JSON object with a time.
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

/// Seconds of the day of a time like `2026-12-02T19:33:35.123456Z`.
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
        let told = ["timestamp", "level", "target", "part", "event", "id"];
        for (name, value) in self.fields.iter().filter(|(name, _)| !told.contains(&name.as_str())) {
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

/// The story of request `id`, from a log of each host. A file without its ending is named as its host.
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

/// The lines that tell what became of request `id`, in the order of time.
pub fn timeline(id: &str, lines: Vec<Line>) -> Result<Vec<Line>, Error> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let begun = own.iter().map(|line| line.at - took(line)).fold(f64::INFINITY, f64::min);
    let ended = own.iter().map(|line| line.at).fold(0.0, f64::max);
    if own.is_empty() {
        return Err(Error::Unknown { id: id.to_owned(), lines: lines.len() });
    }
    let servers: BTreeSet<String> =
        own.iter().filter_map(|line| line.get("server")).map(str::to_owned).collect();
    let hosts: BTreeSet<String> = own.iter().map(|line| line.host.clone()).collect();
    let belongs = |line: &Line| {
        if line.is_about(id) {
            return true;
        }
        let near = line.at > begun - AROUND_S && line.at < ended + AROUND_S;
        let part = line.get("part").is_some_and(|part| CONTEXT.contains(&part));
        // A line about many servers names them all.
        let named = line.get("server").or_else(|| line.get("servers"));
        let server = named.map(|named| named.split(' ').any(|server| servers.contains(server)));
        near && part && server.unwrap_or_else(|| hosts.contains(&line.host))
    };
    let mut story: Vec<Line> = lines.into_iter().filter(belongs).collect();
    story.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(story)
}

fn took(line: &Line) -> f64 {
    line.fields.get("took_ms").and_then(Value::as_f64).unwrap_or(0.0) / 1e3
}

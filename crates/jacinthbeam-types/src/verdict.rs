//! What the system can vouch for about a request that got no whole answer.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// No backend server ran it and none will. Said only with proof.
    NotRun,
    /// It was handed to a backend server, or may have been; nobody knows whether it ran.
    MayHaveRun,
    /// A backend server ran it.
    Ran,
}

impl Verdict {
    /// All verdicts, weakest claim about an effect first.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// The text used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text names no verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a verdict is one of not-run, may-have-run, ran")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Verdict {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|verdict| verdict.as_str() == text).ok_or(ParseError)
    }
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reason {
    /// The request itself is malformed or names no key, or its limits are exceeded.
    BadRequest,
    /// No route is configured for the request.
    UnknownService,
    /// The host has not yet read a configuration.
    NoConfiguration,
    /// No route is known for the request, by a configuration that may not be the one in force.
    OldConfiguration,
    /// No backend server owns the key at present.
    NoOwner,
    /// The key is being moved to another backend server.
    Moving,
    /// The owner can't be reached from here.
    Unreachable,
    /// Backend servers have no room, or can't answer in time.
    Overloaded,
    /// Servers have ended each time that they ran the request, and it is sent to none any more.
    EndsServers,
    /// The deadline passed.
    DeadlinePassed,
    /// The backend server refused it before running it.
    RefusedByServer,
    /// The connection to the backend server broke or went silent.
    ConnectionLost,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "the request is malformed",
            Self::UnknownService => "no route is configured for the request",
            Self::NoConfiguration => "this host has read no configuration yet",
            Self::OldConfiguration => {
                "no route is known for the request, but this host's configuration may be old"
            }
            Self::NoOwner => "no backend server owns the key at present",
            Self::Moving => "the key is being moved to another backend server",
            Self::Unreachable => "the backend server can't be reached from here",
            Self::Overloaded => "no backend server has room for the request at present",
            Self::EndsServers => "backend servers have ended each time that they ran this request",
            Self::DeadlinePassed => "the deadline passed",
            Self::RefusedByServer => "the backend server refused the request before running it",
            Self::ConnectionLost => "the connection was lost before the answer arrived",
        })
    }
}

/// A request that got no answer of a backend server, and what can be said of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it was refused or failed.
    pub reason: Reason,
    /// When a repeat is worth trying, if that is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal with proof that the request did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// A failure after which nobody knows whether the request ran.
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_after: None }
    }

    /// The same refusal with a hint for when to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.verdict, self.reason)
    }
}

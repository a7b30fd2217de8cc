//! What is certain about a request that got no complete response.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Verdict {
    /// No backend server ran it and none will. Reported only with proof.
    NotRun,
    /// It was sent to a backend server, or may have been; whether it ran is unknown.
    MayHaveRun,
    /// A backend server ran it.
    Ran,
}

impl Verdict {
    /// All verdicts, ordered from no effect to a certain effect.
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

/// The text is not a verdict.
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
    /// The request is malformed, has no key, or exceeds a limit.
    BadRequest,
    /// No route is configured for the request.
    UnknownService,
    /// The host has not read a configuration yet.
    NoConfiguration,
    /// No route matches the request in this host's configuration, which may be out of date.
    OldConfiguration,
    /// No backend server owns the key at present.
    NoOwner,
    /// The key is being moved to another backend server.
    Moving,
    /// The owner can't be reached from this host.
    Unreachable,
    /// Backend servers are at capacity, or can't respond in time.
    Overloaded,
    /// The backend server states a rate limit that other requests use up.
    RateLimited,
    /// The backend server asked this host to pause.
    Paused,
    /// Servers crashed under the request, which is quarantined or on probation.
    EndsServers,
    /// The deadline passed.
    DeadlinePassed,
    /// The backend server refused it before running it.
    RefusedByServer,
    /// The connection to the backend server broke or timed out.
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
            Self::RateLimited => "the backend server limits the rate of its requests",
            Self::Paused => "the backend server asked this host to pause",
            Self::EndsServers => "backend servers have ended each time that they ran this request",
            Self::DeadlinePassed => "the deadline passed",
            Self::RefusedByServer => "the backend server refused the request before running it",
            Self::ConnectionLost => "the connection was lost before the answer arrived",
        })
    }
}

/// Why a request got no response of a backend server, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it was refused or failed.
    pub reason: Reason,
    /// Delay before a retry is likely to succeed, if that is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// A failure after which it is unknown whether the request ran.
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_after: None }
    }

    /// Adds the delay before a retry.
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

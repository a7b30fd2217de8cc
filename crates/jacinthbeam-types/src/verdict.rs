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

    /// The text used in the response header and in usage records.
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
    /// No service of that name is configured.
    UnknownService,
    /// The entry host has not yet read a configuration.
    NoConfiguration,
    /// No backend server owns the slot at present.
    NoOwner,
    /// The slot is being moved to another backend server.
    Moving,
    /// The host that was asked does not attend the owner.
    NotAttendant,
    /// The attendant holds no valid lease for the owner at present.
    NoLease,
    /// The attendant of the owner can't be reached from here.
    Unreachable,
    /// The queue of the owner is full, or the request can't be served within its deadline.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller went away.
    Cancelled,
    /// The backend server refused it before running it.
    RefusedByServer,
    /// The connection to the backend server or to the attendant broke or went silent.
    ConnectionLost,
    /// The answer was cut short.
    AnswerCut,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// An earlier request with this idempotency key is still in progress.
    InProgress,
    /// Memory of requests with this idempotency key may have been lost.
    MemoryLost,
    /// The entry host is stopping.
    Stopping,
    /// A peer speaks another version of the protocol or sent garbage.
    PeerProtocol,
    /// No second host holds what is remembered of idempotency keys at present, or it is still being gathered.
    NoCopy,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "the request is malformed",
            Self::UnknownService => "no such service is configured",
            Self::NoConfiguration => "this host has read no configuration yet",
            Self::NoOwner => "no backend server owns the key at present",
            Self::Moving => "the key is being moved to another backend server",
            Self::NotAttendant => "the host asked does not attend the owner of the key",
            Self::NoLease => "the owner of the key holds no valid lease at present",
            Self::Unreachable => "the owner of the key can't be reached from here",
            Self::Overloaded => "the owner of the key has no capacity left within the deadline",
            Self::DeadlinePassed => "the deadline passed",
            Self::Cancelled => "the caller went away",
            Self::RefusedByServer => "the backend server refused the request before running it",
            Self::ConnectionLost => "the connection was lost before the answer arrived",
            Self::AnswerCut => "the answer was cut short",
            Self::KeyReused => "the idempotency key was used before with another request",
            Self::InProgress => "an earlier request with this idempotency key is still in progress",
            Self::MemoryLost => "an earlier request with this idempotency key may have run",
            Self::Stopping => "this host is stopping",
            Self::PeerProtocol => "a peer did not keep to the protocol",
            Self::NoCopy => "no second host keeps the memory of idempotency keys at present",
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

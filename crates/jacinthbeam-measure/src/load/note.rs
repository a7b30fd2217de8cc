//! What callers note of their requests.

use std::time::Instant;

use jacinthbeam::types::prelude::*;

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A read that may be repeated.
    Read,
    /// An order that must run at most once.
    Order,
    /// A read of a key whose unavailable time is measured.
    Probe,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer came.
    Answered(Answered),
    /// No host took the connection; nothing was sent.
    NotSent,
    /// The connection ended before a whole answer came.
    Broken,
    /// No answer came, well after the deadline.
    Late,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered {
    /// Status of the answer.
    pub status: u16,
    /// What the router says of the request; `None` if it says nothing.
    pub verdict: Option<Verdict>,
    /// The router's name for the request.
    pub request: Option<RequestId>,
    /// Text of a refusal; empty for an answer of a backend server.
    pub refusal: String,
    /// Whether an answer of a backend server is whole and the one to this request.
    pub own: bool,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Note {
    /// What it was for.
    pub kind: Kind,
    /// Service asked.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// Path of the request; the same for repeats of one order, and for no other request.
    pub path: String,
    /// Whether it carried an idempotency key.
    pub remembered: bool,
    /// Host that was asked last.
    pub host: HostId,
    /// When it was sent.
    pub sent: Instant,
    /// When its end was known.
    pub ended_at: Instant,
    /// How it ended.
    pub ended: Ended,
}

impl Note {
    /// Whether the caller got what it asked for.
    pub fn is_success(&self) -> bool {
        matches!(&self.ended, Ended::Answered(answered)
            if answered.verdict == Some(Verdict::Ran) && answered.status < 300)
    }

    /// What the router said of the request, if it answered.
    pub fn verdict(&self) -> Option<Verdict> {
        match &self.ended {
            Ended::Answered(answered) => answered.verdict,
            _ => None,
        }
    }

    /// The router's name for the request, if it answered.
    pub fn request(&self) -> Option<RequestId> {
        match &self.ended {
            Ended::Answered(answered) => answered.request,
            _ => None,
        }
    }
}

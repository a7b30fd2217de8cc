//! Why a request got no answer, and whether it may have run.

use std::{fmt, time::Duration};

use http::{HeaderMap, StatusCode, header};
use jacinthbeam_types::prelude::*;

use crate::format::backend::{REFUSED, RefusedBecause};

/// A request that got no answer of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// [`Verdict::NotRun`] only with proof: nothing of the request was written, or the server refused it.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// What the server gave as its reason, if it refused the request with a reason known here.
    pub refused: Option<RefusedBecause>,
    /// When the server wants to be asked again, if it said so.
    pub retry_after: Option<Duration>,
}

impl Failure {
    pub(super) fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, refused: None, retry_after: None }
    }

    pub(super) fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, refused: None, retry_after: None }
    }

    /// The refusal told by the head of an answer, `Ok(None)` if the answer is that of a request that ran.
    ///
    /// The header alone is no proof: an application that ran the request may set a header of that
    /// name. The format ties it to three statuses, so it counts with these only; with any other
    /// status nobody knows.
    pub(super) fn told_by(status: StatusCode, headers: &HeaderMap) -> Result<Option<Self>, Self> {
        let Some(text) = headers.get(REFUSED) else { return Ok(None) };
        if !REFUSAL_STATUSES.contains(&status) {
            return Err(Self::may_have_run(Reason::PeerProtocol));
        }
        let refused = text.to_str().ok().and_then(RefusedBecause::from_text);
        let reason = refused.map_or(Reason::RefusedByServer, reason_of);
        let retry_after = retry_after(headers);
        Ok(Some(Self { refused, retry_after, ..Self::not_run(reason) }))
    }
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Self {
        let Failure { verdict, reason, retry_after, .. } = failure;
        Self { verdict, reason, retry_after }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.verdict, self.reason)?;
        match self.refused {
            Some(because) => write!(f, " ({})", because.as_str()),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Failure {}

const REFUSAL_STATUSES: [StatusCode; 3] =
    [StatusCode::CONFLICT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

fn reason_of(because: RefusedBecause) -> Reason {
    match because {
        RefusedBecause::StaleToken => Reason::NotAttendant,
        RefusedBecause::Lapsed => Reason::NoLease,
        RefusedBecause::NotOwner => Reason::NoOwner,
        RefusedBecause::Shed => Reason::Overloaded,
        RefusedBecause::Draining => Reason::RefusedByServer,
        RefusedBecause::DeadlinePassed => Reason::DeadlinePassed,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

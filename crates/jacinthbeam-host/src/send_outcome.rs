//! Outcome of sending a request to one backend server.
//!
//! Determined by the sender; retries, refusals, metrics, billing and logs are based on it.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;

/// Outcome of sending a request to one server.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server answered completely: the request ran.
    Answered {
        /// The server's response without its hop-by-hop headers.
        res: Response<Full<Bytes>>,
        /// Whether it is a verified success.
        success: bool,
    },
    /// The request did not run at the server.
    NotRun(NotRun),
    /// The request may have run, but there is no answer that can be forwarded.
    Lost(Lost),
}

impl SendOutcome {
    /// Whether the request may have arrived at a server, also if the server rejected it, so that a further send is a retry.
    pub fn may_have_arrived(&self) -> bool {
        match self {
            Self::Answered { .. } | Self::Lost(_) => true,
            Self::NotRun(why) => match why {
                NotRun::Full | NotRun::NotOwner | NotRun::OtherServer | NotRun::Refused => true,
                NotRun::NotListening
                | NotRun::Unreachable
                | NotRun::NoConnection
                | NotRun::RateLimited
                | NotRun::Paused => false,
            },
        }
    }
}

/// Why a request did not run at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The server is full.
    Full,
    /// The server doesn't own the key.
    NotOwner,
    /// Another server, or another incarnation of the server, answered at the address.
    OtherServer,
    /// Nothing listens at the server's address.
    NotListening,
    /// The server can't be reached.
    Unreachable,
    /// This host has reached its maximum number of connections to the server.
    NoConnection,
    /// The server states a rate limit, and this host got no permit to send.
    RateLimited,
    /// The server asked this host to pause.
    Paused,
    /// The server refused the request for another reason.
    Refused,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The connection broke, or the response was incomplete or not for this request.
    Broken,
    /// No complete answer arrived in time.
    Late,
}

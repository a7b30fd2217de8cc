//! What became of a request at one backend server.
//!
//! The sender finds it out, and whoever repeats, refuses, counts, bills or logs a request goes by it.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;

/// What became of a request at one server.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server's answer, whole.
    Answered {
        /// As the server gave it, without headers of its connection.
        res: Response<Full<Bytes>>,
        /// Whether it is a signed success.
        success: bool,
    },
    /// It did not run there.
    NotRun(NotRun),
    /// It may have run; no answer that can be passed on has come.
    Lost(Lost),
}

/// Why a request did not run at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// The server has no room.
    Full,
    /// The server doesn't hold the key.
    NotOwner,
    /// Another server has the address.
    OtherServer,
    /// Nothing listens at the server's address.
    NotListening,
    /// The server can't be reached.
    Unreachable,
    /// This host has no connection left for the server.
    NoConnection,
    /// Another reason of the server's.
    Refused,
}

/// Why the fate of a request is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The connection ended, or what came is not the answer.
    Broken,
    /// No whole answer came in time.
    Late,
}

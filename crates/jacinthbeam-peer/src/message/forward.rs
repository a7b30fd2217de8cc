//! Requests on their way to the host that attends the owner of the key.

use std::{net::SocketAddr, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Head of a forwarded request; the body follows on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Names the request on every host.
    pub id: RequestId,
    /// Service asked for.
    pub service: ServiceName,
    /// The caller's key; empty for an undivided service.
    pub key: Vec<u8>,
    /// Owner in the sender's fold; the attendant checks it against its own.
    pub server: ServerId,
    /// Time left until the deadline when the head was sent.
    pub deadline: Duration,
    /// Whether the caller or the method says that a repeat is harmless.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body, if the caller named it.
    pub body_length: Option<u64>,
}

/// Head of the answer to a forwarded request; the body follows on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The backend server's answer; its body follows.
    Answer {
        /// The request that this answers.
        id: RequestId,
        /// HTTP status.
        status: u16,
        /// Headers to pass on.
        headers: Vec<(String, Vec<u8>)>,
        /// Length of the body, if known.
        body_length: Option<u64>,
    },
    /// No answer of a backend server; no body follows.
    Refused {
        /// The request that this answers.
        id: RequestId,
        /// Why, and whether it may have run.
        refusal: Refusal,
        /// Who attends the owner, if the refusing host knows better.
        attendant: Option<SocketAddr>,
    },
}

impl ForwardReply {
    /// The request that this answers.
    pub fn id(&self) -> RequestId {
        match self {
            Self::Answer { id, .. } | Self::Refused { id, .. } => *id,
        }
    }
}

//! Queries of the traffic thread to the control thread about the rate limits of servers.

use jacinthbeam_dispatch::rate_limit::{Statement, issuer::Decision};
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

/// One query.
#[derive(Debug)]
pub enum Query {
    /// Requests a permit to send one request to a server.
    Permit {
        /// The server.
        server: ServerId,
        /// Failure domain of the server.
        domain: FailureDomain,
        /// What this host knows of its limit.
        statement: Statement,
        /// Which of the hosts that issue permits for the server to ask; counted on from the last to the first.
        issuer: usize,
        /// Receives the decision. Dropped if there is no such host.
        reply: oneshot::Sender<Decision>,
    },
    /// A server has withdrawn its limit, which the hosts that issue permits for it have to know.
    Withdrawn {
        /// The server.
        server: ServerId,
        /// Failure domain of the server.
        domain: FailureDomain,
        /// The statement that withdraws it.
        statement: Statement,
    },
}

//! Permits to send to a server that states a rate limit.

use std::time::Duration;

use jacinthbeam_dispatch::rate_limit::{
    Admission,
    issuer::{Decision, ISSUERS},
};
use jacinthbeam_route::Server;
use tokio::sync::oneshot;

use super::backpressure::apply_rate_limit;
use crate::process::{permits::Query, server_state::ServerState, traffic::Traffic};

/// Permission for one send to a server that states a rate limit.
#[derive(Debug, Clone, Copy)]
pub struct Permit(());

/// No permit can be had now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Denied;

/// Time within which an issuer has to decide. It takes a round trip, unless the issuer has used up its share of the processor.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a server is left alone after its issuers were silent.
const SILENCE_BLOCK: Duration = Duration::from_millis(250);

/// Acquires a permit to send one request to a server. Returns `None` if the server states no rate limit.
pub(super) async fn acquire(
    traffic: &Traffic,
    server: &Server,
    state: &ServerState,
) -> Result<Option<Permit>, Denied> {
    match state.rate_limit.get().admission(traffic.now()) {
        Admission::Unlimited => return Ok(None),
        Admission::Blocked(_) => return Err(Denied),
        Admission::PermitRequired => {}
    }
    // Drawn, so that all issuers are asked equally often.
    let first = fastrand::usize(..ISSUERS);
    let mut wait = None;
    for issuer in first..first + ISSUERS {
        let Some(decision) = request(traffic, server, state, issuer).await else { continue };
        apply_rate_limit(traffic, &server.id, state, decision.statement);
        if state.rate_limit.get().rate().is_none() {
            return Ok(None);
        }
        if decision.granted {
            traffic.counters.on_permit("granted");
            return Ok(Some(Permit(())));
        }
        wait = Some(wait.map_or(decision.wait, |wait: Duration| wait.min(decision.wait)));
    }
    traffic.counters.on_permit(if wait.is_some() { "denied" } else { "silent" });
    let mut known = state.rate_limit.get();
    known.on_denied(traffic.now(), wait.unwrap_or(SILENCE_BLOCK));
    state.rate_limit.set(known);
    Err(Denied)
}

/// Asks one issuer; `None` if it doesn't decide in time.
async fn request(
    traffic: &Traffic,
    server: &Server,
    state: &ServerState,
    issuer: usize,
) -> Option<Decision> {
    let statement = state.rate_limit.get().newest()?;
    let (reply, decision) = oneshot::channel();
    traffic.query_permits(Query::Permit {
        server: server.id.clone(),
        domain: server.domain.clone(),
        statement,
        issuer,
        reply,
    });
    tokio::time::timeout(DECISION_TIMEOUT, decision).await.ok()?.ok()
}

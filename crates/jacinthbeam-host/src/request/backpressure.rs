//! What backend servers state about their own load in the heads of their responses: it is applied to each response, and asked before each send.

use std::time::{Duration, Instant};

use http::Response;
use hyper::body::Incoming;
use jacinthbeam_dispatch::rate_limit::{Admission, Statement};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;

use super::permit::{self, Permit};
use crate::{
    process::{permits::Query, server_state::ServerState, traffic::Traffic},
    send_outcome::NotRun,
    wire::ResponseKind,
};

/// Admits one request to a server by what the server states. Returns the permit if one is required.
pub(super) async fn admit(
    traffic: &Traffic,
    server: &Server,
    state: &ServerState,
) -> Result<Option<Permit>, NotRun> {
    if let Some(refused) = refuses(state, traffic.now()) {
        if refused == NotRun::RateLimited {
            traffic.counters.on_permit("blocked");
        }
        return Err(refused);
    }
    permit::acquire(traffic, server, state).await.map_err(|permit::Denied| NotRun::RateLimited)
}

/// Admits a request again that was admitted with or without a `permit` before it waited for a connection.
pub(super) async fn readmit(
    traffic: &Traffic,
    server: &Server,
    state: &ServerState,
    permit: Option<Permit>,
) -> Result<(), NotRun> {
    match permit {
        Some(_) => refuses(state, traffic.now()).map_or(Ok(()), Err),
        None => admit(traffic, server, state).await.map(drop),
    }
}

/// Why nothing may be sent to a server now, as far as that is known without asking another host.
pub(super) fn refuses(state: &ServerState, now: Instant) -> Option<NotRun> {
    if state.pause.get().left(now).is_some() {
        return Some(NotRun::Paused);
    }
    let blocked = matches!(state.rate_limit.get().admission(now), Admission::Blocked(_));
    blocked.then_some(NotRun::RateLimited)
}

/// Applies the head of a response to a request that was sent at `sent`.
///
/// A foreign response may be the late one to an earlier request, so that it withdraws nothing.
pub(super) fn apply(
    traffic: &Traffic,
    server: &Server,
    state: &ServerState,
    res: &Response<Incoming>,
    kind: ResponseKind,
    sent: Instant,
) {
    if kind == ResponseKind::OtherServer {
        return;
    }
    let stated = (traffic.wire.parse_backpressure)(res.status(), res.headers());
    if let Some(header) = stated.invalid.filter(|_| !state.invalid_logged.replace(true)) {
        tracing::warn!(part = "backpressure", event = "invalid-header", server = %server.id, header, value = ?res.headers().get(header));
    }
    if let Some(pause) = stated.pause {
        apply_pause(traffic, &server.id, state, pause);
    }
    if stated.draining && state.draining_since.get().is_none() {
        state.draining_since.set(Some(traffic.now()));
        log(
            traffic,
            |left_out| tracing::info!(part = "backpressure", event = "draining", server = %server.id, left_out),
        );
    }
    if let Some(load) = stated.stated_load.filter(|_| kind != ResponseKind::Foreign) {
        state.stated_load.set(Some((traffic.now(), load)));
    }
    if kind == ResponseKind::Foreign && stated.rate_limit.is_none() {
        return;
    }
    let statement = Statement::of_response(stated.rate_limit, sent, traffic.now());
    let changed = apply_rate_limit(traffic, &server.id, state, statement);
    if changed && statement.rate.is_none() {
        // The hosts that may not send would not learn of it otherwise.
        traffic.query_permits(Query::Withdrawn {
            server: server.id.clone(),
            domain: server.domain.clone(),
            statement,
        });
    }
}

/// Applies a statement about the rate limit of a server. Returns whether it changes the limit.
pub(super) fn apply_rate_limit(
    traffic: &Traffic,
    server: &ServerId,
    state: &ServerState,
    statement: Statement,
) -> bool {
    let mut known = state.rate_limit.get();
    let before = known.rate();
    let changed = known.apply(statement);
    state.rate_limit.set(known);
    if changed {
        log_rate_limit(traffic, server, before, statement.rate);
    }
    changed
}

fn log_rate_limit(traffic: &Traffic, server: &ServerId, before: Option<Rate>, rate: Option<Rate>) {
    traffic.counters.on_rate_limit(rate.is_some());
    let rate = rate.map(tracing::field::display);
    let before = before.map(tracing::field::display);
    log(
        traffic,
        |left_out| tracing::info!(part = "backpressure", event = "rate-limit", server = %server, rate, before, left_out),
    );
}

fn apply_pause(traffic: &Traffic, server: &ServerId, state: &ServerState, pause: Duration) {
    let now = traffic.now();
    let mut known = state.pause.get();
    let was_paused = known.left(now).is_some();
    known.apply(pause, now);
    state.pause.set(known);
    if !was_paused {
        traffic.counters.pauses.add(1, &[]);
        let pause_ms = pause.as_millis() as u64;
        log(
            traffic,
            |left_out| tracing::info!(part = "backpressure", event = "pause", server = %server, pause_ms, left_out),
        );
    }
}

/// Calls `write` with the number of lines that were left out, unless too many lines were written lately.
fn log(traffic: &Traffic, write: impl FnOnce(u64)) {
    if let Some(left_out) = traffic.backpressure_log.borrow_mut().take(traffic.now()) {
        write(left_out);
    }
}

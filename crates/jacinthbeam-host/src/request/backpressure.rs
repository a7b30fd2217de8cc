//! Applies what backend servers state about their own load in the heads of their responses.

use std::time::Instant;

use http::Response;
use hyper::body::Incoming;
use jacinthbeam_dispatch::rate_limit::Statement;
use jacinthbeam_types::prelude::*;

use crate::process::traffic::{ServerState, Traffic};

/// Applies the head of a response to a request that was sent at `sent`.
pub(super) fn apply(
    traffic: &Traffic,
    server: &ServerId,
    state: &ServerState,
    res: &Response<Incoming>,
    sent: Instant,
) {
    let stated = (traffic.wire.parse_backpressure)(res.status(), res.headers());
    if let Some(header) = stated.invalid.filter(|_| !state.invalid_logged.replace(true)) {
        tracing::warn!(part = "backpressure", event = "invalid-header", server = %server, header, value = ?res.headers().get(header));
    }
    let statement = Statement::of_response(stated.rate_limit, sent, traffic.now());
    apply_rate_limit(traffic, server, state, statement);
}

fn apply_rate_limit(
    traffic: &Traffic,
    server: &ServerId,
    state: &ServerState,
    statement: Statement,
) {
    let mut known = state.rate_limit.get();
    let before = known.rate();
    let changed = known.apply(statement);
    state.rate_limit.set(known);
    if !changed {
        return;
    }
    traffic.counters.on_rate_limit(statement.rate.is_some());
    let Some(left_out) = traffic.backpressure_log.borrow_mut().take(traffic.now()) else { return };
    tracing::info!(
        part = "backpressure",
        event = "rate-limit",
        server = %server,
        rate = statement.rate.map(tracing::field::display),
        before = before.map(tracing::field::display),
        left_out,
    );
}

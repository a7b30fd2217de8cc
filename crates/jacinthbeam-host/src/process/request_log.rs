//! The lines that tell the story of a request.
//!
//! Each send to a server that was no plain success is told, and each refusal and failure, with what decided it and how old
//! that was. Successes are told for one request in ten and counted for all.

use std::{
    cell::RefCell,
    net::IpAddr,
    time::{Duration, Instant},
};

use http::HeaderValue;
use jacinthbeam_crash::Fingerprint;
use jacinthbeam_range::{Key, admission::Gate};
use jacinthbeam_types::prelude::*;

use super::logs::Quota;
use crate::{send_outcome::SendOutcome, version::View};

/// Plain successes of which one is told. A host answers some thirty a second; three lines a second are enough to compare with.
const SAMPLE: u64 = 10;

/// Lines of each kind a second at the most. A host refuses some tens a second under overload; beyond that they say the same.
const PER_SECOND: u32 = 100;

/// What the lines of all requests share.
#[derive(Debug)]
pub struct RequestLog {
    sends: RefCell<Quota>,
    ends: RefCell<Quota>,
}

impl Default for RequestLog {
    fn default() -> Self {
        let quota = || RefCell::new(Quota::new(PER_SECOND));
        Self { sends: quota(), ends: quota() }
    }
}

/// One send of a request to a server.
pub struct Send<'a> {
    /// The caller's name for the attempt.
    pub id: &'a HeaderValue,
    /// The route.
    pub route: &'a str,
    /// The service.
    pub service: &'a ServiceName,
    /// The key, if the service has any.
    pub key: Option<Key>,
    /// The server.
    pub server: &'a ServerId,
    /// Counts the sends of the request from 1.
    pub number: u32,
    /// When the request came.
    pub received: Instant,
    /// Where it came from.
    pub caller: IpAddr,
}

/// What a refusal was decided by.
#[derive(Debug, Default)]
pub struct Basis<'a> {
    /// The service; `None` if the request came to none.
    pub service: Option<&'a ServiceName>,
    /// The key, if the service has any.
    pub key: Option<Key>,
    /// Its owner, by the map that this host knows.
    pub owner: Option<ServerId>,
    /// What the owner might be sent, if that was not everything.
    pub gate: Option<Gate>,
    /// Requests that this host has at the owner.
    pub in_flight: u32,
    /// Servers that were tried before.
    pub tried: usize,
    /// How old what is known of the servers is.
    pub servers_age: Option<Duration>,
}

impl RequestLog {
    /// Tells of a send. `same` gives the fingerprint of the request, which is worked out where its line has it: if nobody knows
    /// what became of it, it may be the request that ended its server, and will come again as another attempt.
    pub fn on_sent(
        &self,
        now: Instant,
        send: &Send<'_>,
        view: &View,
        sent: &SendOutcome,
        same: impl FnOnce() -> Fingerprint,
    ) {
        let (outcome, why, status) = match sent {
            SendOutcome::Answered { res, success } => {
                if *success && send.number == 1 && fastrand::u64(..SAMPLE) > 0 {
                    return;
                }
                ("answered", String::new(), res.status().as_u16())
            }
            SendOutcome::NotRun(why) => ("not-run", format!("{why:?}"), 0),
            SendOutcome::Lost(why) => ("may-have-run", format!("{why:?}"), 0),
        };
        let Some(left_out) = self.sends.borrow_mut().take(now) else { return };
        let map = view.maps.get(send.service);
        let lost = matches!(sent, SendOutcome::Lost(_));
        let caller = lost.then_some(send.caller);
        let fingerprint = lost.then(same);
        tracing::info!(
            part = "request",
            event = "sent",
            id = ?send.id,
            route = send.route,
            service = %send.service,
            key = send.key.map(|key| key.0),
            server = %send.server,
            number = send.number,
            outcome,
            why,
            status,
            took_ms = millis(now, send.received),
            config = view.config.as_ref().map(|cfg| cfg.version.0),
            map_epoch = map.map(|map| map.epoch.0),
            map_version = map.map(|map| map.version),
            caller = caller.map(tracing::field::display),
            fingerprint = fingerprint.map(tracing::field::display),
            left_out,
        );
    }

    /// Tells of a request that got no answer of a server. `basis` is worked out for lines that are written.
    pub fn on_refused<'a>(
        &self,
        now: Instant,
        id: &HeaderValue,
        route: &str,
        refusal: &Refusal,
        received: Instant,
        basis: impl FnOnce() -> Basis<'a>,
    ) {
        let Some(left_out) = self.ends.borrow_mut().take(now) else { return };
        let basis = basis();
        tracing::info!(
            part = "request",
            event = "refused",
            id = ?id,
            route,
            verdict = %refusal.verdict,
            reason = ?refusal.reason,
            retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64),
            took_ms = millis(now, received),
            service = basis.service.map(tracing::field::display),
            key = basis.key.map(|key| key.0),
            owner = basis.owner.as_ref().map(tracing::field::display),
            gate_rank = basis.gate.map(|gate| gate.rank),
            gate_share = basis.gate.map(|gate| gate.share),
            in_flight = basis.in_flight,
            tried = basis.tried,
            servers_age_ms = basis.servers_age.map(|age| age.as_millis() as u64),
            left_out,
        );
    }
}

fn millis(now: Instant, since: Instant) -> u64 {
    now.saturating_duration_since(since).as_millis() as u64
}

//! Calls to backend servers that grant keys or take them back.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_connection::{Line, line};
use jacinthbeam_range::{
    Event, KeyRange, Owner,
    grantor::{NoAnswer, Outcome, RangeGrant, timing::HOLD},
};
use jacinthbeam_types::prelude::*;
use tokio::task::spawn_local;

use super::input::{Input, Tx};
use crate::{
    Wire,
    wire::{Granted, Released},
};

/// Time for the answer to a grant. A server answers in a millisecond or two, and a connection that loses a packet in half a
/// second; while it is waited for, nothing else is granted to the server.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for the answer to a release, which comes when the running requests of the keys have ended. After it the keys wait for
/// the end of the hold, which is about as long.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Longest body of an answer.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The epoch that this process leads in; calls of an earlier one are not sent any more.
pub(super) type LeadEpoch = Rc<Cell<Option<Epoch>>>;

/// The leadership that a call belongs to.
#[derive(Debug, Clone)]
pub(super) struct Leadership {
    pub(super) epoch: Epoch,
    pub(super) leads: LeadEpoch,
}

impl Leadership {
    /// Whether this process still leads in the epoch of the call.
    fn is_current(&self) -> bool {
        self.leads.get() == Some(self.epoch)
    }
}

/// Connections for grants, one to each server. They are reset when a call is given up: a grant that would arrive after that
/// could outlast the wait for its end.
#[derive(Debug)]
pub(super) struct GrantClient {
    wire: Wire,
    clock: Arc<dyn Clock>,
    tx: Tx,
    lines: BTreeMap<SocketAddr, Rc<GrantConnection>>,
}

impl GrantClient {
    pub(super) fn new(wire: Wire, clock: Arc<dyn Clock>, tx: Tx) -> Self {
        Self { wire, clock, tx, lines: BTreeMap::new() }
    }

    /// Closes connections to servers other than these.
    pub(super) fn keep_only(&mut self, addrs: &[SocketAddr]) {
        self.lines.retain(|addr, line| addrs.contains(addr) || Rc::strong_count(line) > 1);
    }

    /// Sends grants to one server, one after the other, until `until` and for as long as the leadership lasts, over
    /// the connection `over`.
    pub(super) fn grant(
        &mut self,
        service: ServiceName,
        to: Owner,
        calls: Vec<RangeGrant>,
        over: Option<Instant>,
        until: Instant,
        leadership: Leadership,
    ) {
        let new = || Rc::new(GrantConnection::new(to.addr));
        let line = self.lines.entry(to.addr).or_insert_with(new).clone();
        let (wire, clock, tx) = (self.wire, self.clock.clone(), self.tx.clone());
        spawn_local(async move {
            let mut round = Round::new();
            // In another order each time: a round may end early, and must not leave out the same keys again and again.
            let mut calls = calls;
            fastrand::shuffle(&mut calls);
            for call in &calls {
                if !round.is_open(&*clock, &line, over).await {
                    break;
                }
                // UpdateRequest right before each call: this process may have been suspended, or replaced, since it was ordered.
                if clock.now() >= until || !leadership.is_current() {
                    round.outcome = Outcome::NotSent;
                    break;
                }
                round.send(wire, &*clock, &line, &to, call).await;
                if round.is_over() {
                    break;
                }
            }
            log_round(&service, &to, &round, calls.len());
            let Round { outcome, last_call, confirmed, refused, .. } = round;
            let server = to.server;
            let event = Event::Granted { server, outcome, last_call, confirmed, refused };
            if tx.send(Input::Granted { service, event }).is_err() {
                tracing::debug!(part = "grant", event = "stopped-meanwhile");
            }
        });
    }

    /// Takes keys back, over a connection of its own: the answer may take as long as a request.
    ///
    /// A server takes a release under a lower token too. One of a host that was replaced would take keys away that its successor
    /// has granted, until the next renewal.
    pub(super) fn release(
        &self,
        service: ServiceName,
        from: Owner,
        (range, token): (KeyRange, Token),
        leadership: Leadership,
    ) {
        let (wire, tx) = (self.wire, self.tx.clone());
        spawn_local(async move {
            if !leadership.is_current() {
                return;
            }
            let line = Line::new(from.addr, MAX_RESPONSE_BYTES);
            let req = (wire.release_request)(&from, range, token);
            let answer = line.exchange(req, RELEASE_TIMEOUT).await;
            let handover = match answer.map(|res| (wire.parse_release_response)(&from, &res)) {
                Ok(Released::Done(handover)) => Ok(handover),
                // The life that held the keys has ended.
                Ok(Released::OtherServer) => Ok(None),
                Ok(Released::Unclear) | Err(_) => Err(NoAnswer),
            };
            tracing::info!(part = "grant", event = "release", service = %service, server = %from.server, range = %range, token = %token, outcome = ?handover);
            let event = Event::Released { range, token, handover };
            if tx.send(Input::Granted { service, event }).is_err() {
                tracing::debug!(part = "grant", event = "stopped-meanwhile");
            }
        });
    }
}

/// The connection to one server, and when it was known to be open.
///
/// The time names the connection: grants go over one that was open early enough, and a grant and its renewals over the same one.
#[derive(Debug)]
struct GrantConnection {
    line: Line,
    opened: Cell<Option<Instant>>,
}

impl GrantConnection {
    fn new(addr: SocketAddr) -> Self {
        Self { line: Line::new(addr, MAX_RESPONSE_BYTES).resetting(), opened: Cell::new(None) }
    }

    /// Opens a connection if none is open. Returns when the present one was known to be open.
    async fn open(&self, clock: &dyn Clock) -> Result<Instant, line::Error> {
        let is_new = self.line.connect_if_closed(GRANT_TIMEOUT).await?;
        let at = self.opened.get().filter(|_| !is_new).unwrap_or_else(|| clock.now());
        self.opened.set(Some(at));
        Ok(at)
    }
}

/// What came of the calls to one server so far.
struct Round {
    outcome: Outcome,
    last_call: Option<Instant>,
    confirmed: Vec<(KeyRange, Token)>,
    refused: Vec<KeyRange>,
    silent: u32,
}

/// Calls without an answer after which a round ends, if the server answered others. Each takes [`GRANT_TIMEOUT`], in which the
/// other keys come closer to the end of their hold.
const MAX_UNANSWERED: u32 = 2;

impl Round {
    fn new() -> Self {
        Self {
            outcome: Outcome::Answered,
            last_call: None,
            confirmed: Vec::new(),
            refused: Vec::new(),
            silent: 0,
        }
    }

    /// Whether further calls are of no use: the server is not there, or does not answer now.
    fn is_over(&self) -> bool {
        let answers = !self.confirmed.is_empty() || !self.refused.is_empty();
        let most = if answers { MAX_UNANSWERED } else { 1 };
        let is_other = matches!(self.outcome, Outcome::Ended | Outcome::Opened(_));
        is_other || self.silent >= most
    }

    /// Opens a connection if there is none. Returns whether it is the one that the calls are meant for; else the round is over.
    async fn is_open(
        &mut self,
        clock: &dyn Clock,
        line: &GrantConnection,
        over: Option<Instant>,
    ) -> bool {
        match line.open(clock).await {
            Ok(at) if Some(at) == over => return true,
            Ok(at) => self.outcome = Outcome::Opened(at),
            Err(_) => {
                self.outcome = Outcome::Silent;
                self.silent += 1;
            }
        }
        false
    }

    /// Sends one grant.
    async fn send(
        &mut self,
        wire: Wire,
        clock: &dyn Clock,
        line: &GrantConnection,
        to: &Owner,
        call: &RangeGrant,
    ) {
        let answer =
            line.line.exchange_kept((wire.grant_request)(to, call, HOLD), GRANT_TIMEOUT).await;
        let granted = match answer {
            Ok(res) => (wire.parse_grant_response)(to, &res),
            Err(line::Error::NotSent(_)) => {
                self.outcome = Outcome::Silent;
                self.silent += 1;
                return;
            }
            Err(line::Error::Lost(_)) => Granted::Unclear,
        };
        self.last_call = Some(clock.now());
        match granted {
            Granted::Held => self.confirmed.push((call.range, call.token)),
            Granted::HigherSeen => self.refused.push(call.range),
            Granted::OtherServer => self.outcome = Outcome::Ended,
            Granted::Unclear => {
                self.outcome = Outcome::Silent;
                self.silent += 1;
            }
        }
    }
}

fn log_round(service: &ServiceName, to: &Owner, round: &Round, calls: usize) {
    let is_calm = matches!(round.outcome, Outcome::Answered | Outcome::Opened(_));
    if is_calm && round.refused.is_empty() {
        tracing::debug!(part = "grant", event = "round", service = %service, server = %to.server, calls = %calls, outcome = ?round.outcome);
        return;
    }
    tracing::info!(part = "grant", event = "round", service = %service, server = %to.server, calls = %calls, outcome = ?round.outcome, confirmed = %round.confirmed.len(), refused = %round.refused.len());
}

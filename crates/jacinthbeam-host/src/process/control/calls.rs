//! Grant and release calls to backend servers.

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_connection::{Dialer, Line, line};
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

/// Timeout of a grant call. A server answers within a millisecond or two, and within half a second if a packet is lost. Calls to one server
/// are sequential, so no other range is granted to it meanwhile.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a release call, which the server answers once the running requests of the keys have ended. After a timeout the keys stay
/// unavailable until the hold expires, which is about as long.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// The epoch in which this process leads, `None` if it doesn't lead. Calls of any other epoch are not sent.
pub(super) type LeadEpoch = Rc<Cell<Option<Epoch>>>;

/// The leadership under which a call was ordered.
#[derive(Debug, Clone)]
pub(super) struct Leadership {
    pub(super) epoch: Epoch,
    pub(super) lead_epoch: LeadEpoch,
}

impl Leadership {
    /// Whether this process still leads in the epoch of the call.
    fn is_current(&self) -> bool {
        self.lead_epoch.get() == Some(self.epoch)
    }
}

/// Sends grants over one connection per server. A connection is reset when a call on it times out: a grant that arrived later would start
/// a hold that outlasts the time the grantor waits for.
#[derive(Debug)]
pub(super) struct GrantClient {
    wire: Wire,
    clock: Arc<dyn Clock>,
    dialer: Dialer,
    tx: Tx,
    connections: BTreeMap<SocketAddr, Rc<GrantConnection>>,
}

impl GrantClient {
    pub(super) fn new(wire: Wire, clock: Arc<dyn Clock>, dialer: Dialer, tx: Tx) -> Self {
        Self { wire, clock, dialer, tx, connections: BTreeMap::new() }
    }

    /// Closes idle connections to servers other than these.
    pub(super) fn keep_only(&mut self, addrs: &[SocketAddr]) {
        self.connections
            .retain(|addr, connection| addrs.contains(addr) || Rc::strong_count(connection) > 1);
    }

    /// Sends grants to one server, one after the other, while the leadership is current and until the deadline `until`, and only over the
    /// connection that the time `opened_at` identifies. The result is sent as [`Event::Granted`].
    pub(super) fn grant(
        &mut self,
        service: ServiceName,
        to: Owner,
        calls: Vec<RangeGrant>,
        opened_at: Option<Instant>,
        until: Instant,
        leadership: Leadership,
    ) {
        let new = || Rc::new(GrantConnection::new(to.addr, self.dialer.clone()));
        let connection = self.connections.entry(to.addr).or_insert_with(new).clone();
        let (wire, clock, tx) = (self.wire, self.clock.clone(), self.tx.clone());
        spawn_local(async move {
            let mut round = Round::new();
            // Shuffled: a round may end early, and must not skip the same ranges every time.
            let mut calls = calls;
            fastrand::shuffle(&mut calls);
            for call in &calls {
                if !round.check_connection(&*clock, &connection, opened_at).await {
                    break;
                }
                // Checked right before each call: this process may have been suspended or replaced since the round was ordered.
                if clock.now() >= until || !leadership.is_current() {
                    round.outcome = Outcome::NotSent;
                    break;
                }
                round.send(wire, &*clock, &connection, &to, call).await;
                if round.is_finished() {
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

    /// Releases a range, over a separate connection: the answer may take as long as a request. The result is sent as [`Event::Released`].
    ///
    /// A server accepts a release with a lower token as well. A release from a former leader would therefore revoke keys that its successor
    /// has granted, until their next renewal, so none is sent without current leadership.
    pub(super) fn release(
        &self,
        service: ServiceName,
        from: Owner,
        (range, token): (KeyRange, Token),
        leadership: Leadership,
    ) {
        let (wire, dialer, tx) = (self.wire, self.dialer.clone(), self.tx.clone());
        spawn_local(async move {
            if !leadership.is_current() {
                return;
            }
            let line = Line::new(from.addr, MAX_RESPONSE_BYTES).dialed_by(dialer);
            let req = (wire.release_request)(&from, range, token);
            let answer = line.exchange(req, RELEASE_TIMEOUT).await;
            let handover = match answer.map(|res| (wire.parse_release_response)(&from, &res)) {
                Ok(Released::Done(handover)) => Ok(handover),
                // The incarnation that held the keys has ended.
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

/// The connection to one server.
///
/// The time at which it was first known to be open identifies it: grants need a connection that was open early enough, and a grant and its
/// renewals need the same one.
#[derive(Debug)]
struct GrantConnection {
    line: Line,
    opened: Cell<Option<Instant>>,
}

impl GrantConnection {
    fn new(addr: SocketAddr, dialer: Dialer) -> Self {
        let line = Line::new(addr, MAX_RESPONSE_BYTES).resetting().dialed_by(dialer);
        Self { line, opened: Cell::new(None) }
    }

    /// Connects unless a connection is open. Returns the time that identifies the connection.
    async fn open(&self, clock: &dyn Clock) -> Result<Instant, line::Error> {
        let is_new = self.line.connect_if_closed(GRANT_TIMEOUT).await?;
        let at = self.opened.get().filter(|_| !is_new).unwrap_or_else(|| clock.now());
        self.opened.set(Some(at));
        Ok(at)
    }
}

/// Results so far of one round of grants to a server.
struct Round {
    outcome: Outcome,
    last_call: Option<Instant>,
    confirmed: Vec<(KeyRange, Token)>,
    refused: Vec<KeyRange>,
    unanswered: u32,
}

/// Unanswered calls after which a round ends, if the server answered others. Each costs [`GRANT_TIMEOUT`], while the holds of the other
/// ranges run out.
const MAX_UNANSWERED: u32 = 2;

impl Round {
    fn new() -> Self {
        Self {
            outcome: Outcome::Answered,
            last_call: None,
            confirmed: Vec::new(),
            refused: Vec::new(),
            unanswered: 0,
        }
    }

    /// Whether to end the round: another server or connection was found, or too many calls were unanswered.
    fn is_finished(&self) -> bool {
        let answers = !self.confirmed.is_empty() || !self.refused.is_empty();
        let max_unanswered = if answers { MAX_UNANSWERED } else { 1 };
        let is_other = matches!(self.outcome, Outcome::Ended | Outcome::Opened(_));
        is_other || self.unanswered >= max_unanswered
    }

    /// Connects if necessary. Returns whether the connection is the one that the calls are meant for; if not, the round has ended.
    async fn check_connection(
        &mut self,
        clock: &dyn Clock,
        connection: &GrantConnection,
        opened_at: Option<Instant>,
    ) -> bool {
        match connection.open(clock).await {
            Ok(at) if Some(at) == opened_at => return true,
            Ok(at) => self.outcome = Outcome::Opened(at),
            Err(_) => {
                self.outcome = Outcome::Silent;
                self.unanswered += 1;
            }
        }
        false
    }

    /// Sends one grant and records its result.
    async fn send(
        &mut self,
        wire: Wire,
        clock: &dyn Clock,
        connection: &GrantConnection,
        to: &Owner,
        call: &RangeGrant,
    ) {
        let answer = connection
            .line
            .exchange_kept((wire.grant_request)(to, call, HOLD), GRANT_TIMEOUT)
            .await;
        let granted = match answer {
            Ok(res) => (wire.parse_grant_response)(to, &res),
            Err(line::Error::NotSent(_)) => {
                self.outcome = Outcome::Silent;
                self.unanswered += 1;
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
                self.unanswered += 1;
            }
        }
    }
}

fn log_round(service: &ServiceName, to: &Owner, round: &Round, calls: usize) {
    let is_routine = matches!(round.outcome, Outcome::Answered | Outcome::Opened(_));
    if is_routine && round.refused.is_empty() {
        tracing::debug!(part = "grant", event = "round", service = %service, server = %to.server, calls = %calls, outcome = ?round.outcome);
        return;
    }
    tracing::info!(part = "grant", event = "round", service = %service, server = %to.server, calls = %calls, outcome = ?round.outcome, confirmed = %round.confirmed.len(), refused = %round.refused.len());
}

//! Permits to send to servers that state a rate limit: requested from the hosts that issue them, and issued to other hosts.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration, time::Instant};

use jacinthbeam_dispatch::rate_limit::{PermitIssuer, Statement, issuer::Decision};
use jacinthbeam_types::prelude::*;
use tokio::sync::oneshot;

use super::state::Control;
use crate::process::{
    peers::load::{LimitStatement, Message},
    permits::Query,
};

/// The hosts that issue permits for a server, with their addresses.
type Issuers = Vec<(HostId, SocketAddr)>;

/// State of this host as a requester and as an issuer of permits.
#[derive(Debug)]
pub(super) struct Permits {
    /// Issues permits for the servers that this host is selected for.
    pub(super) issuer: PermitIssuer,
    /// The hosts that are selected for servers of interest, among the known hosts.
    selected: BTreeMap<ServerId, Issuers>,
    /// Requests to other hosts that are not decided yet, each with the time when it was sent.
    pending: BTreeMap<u64, (Instant, oneshot::Sender<Decision>)>,
    next_id: u64,
}

/// Number of servers for which the selected hosts are remembered.
const MAX_SELECTED: usize = 1024;

impl Permits {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            issuer: PermitIssuer::new(now),
            selected: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_id: 0,
        }
    }

    pub(super) fn on_hosts_changed(&mut self) {
        self.selected.clear();
    }

    fn add_pending(&mut self, now: Instant, reply: oneshot::Sender<Decision>) -> u64 {
        self.next_id += 1;
        self.pending.insert(self.next_id, (now, reply));
        self.next_id
    }
}

impl Control {
    pub(super) fn on_rate_limit_query(&mut self, query: Query) {
        match query {
            Query::Permit { server, domain, statement, issuer, reply } => {
                let issuers = self.permit_issuers(&server, &domain);
                let Some(index) = issuer.checked_rem(issuers.len()) else { return };
                let (host, addr) = issuers[index].clone();
                self.request_permit(&server, statement, (host, addr), issuers.len(), reply);
            }
            Query::Withdrawn { server, domain, statement } => {
                let limit = LimitStatement::new(statement, self.clock.now());
                for (host, addr) in self.permit_issuers(&server, &domain) {
                    if host == self.me.host {
                        self.permits.issuer.apply(&server, statement);
                    } else {
                        let server = server.clone();
                        self.send_permit_message(addr, &Message::LimitWithdrawn { server, limit });
                    }
                }
            }
        }
    }

    /// Requests a permit from one of the `issuers` hosts that issue them for the server.
    fn request_permit(
        &mut self,
        server: &ServerId,
        statement: Statement,
        (host, addr): (HostId, SocketAddr),
        issuers: usize,
        reply: oneshot::Sender<Decision>,
    ) {
        let now = self.clock.now();
        if host == self.me.host {
            let decision = self.permits.issuer.request(server, statement, issuers, now);
            // The requester may have given up.
            let _ = reply.send(decision);
            return;
        }
        let id = self.permits.add_pending(now, reply);
        let limit = LimitStatement::new(statement, now);
        self.send_permit_message(
            addr,
            &Message::PermitRequest { id, server: server.clone(), limit },
        );
    }

    pub(super) fn on_permit_request(
        &mut self,
        from: SocketAddr,
        id: u64,
        server: &ServerId,
        limit: LimitStatement,
    ) {
        let now = self.clock.now();
        let domain = self.replica.servers().get(server).map(|server| server.domain.clone());
        let domain = domain.unwrap_or_else(|| self.settings.domain.clone());
        let issuers = self.permit_issuers(server, &domain).len();
        let statement = limit.sent_at(now);
        let Decision { granted, wait, statement } =
            self.permits.issuer.request(server, statement, issuers, now);
        let limit = LimitStatement::new(statement, now);
        self.send_permit_message(from, &Message::PermitDecision { id, granted, wait, limit });
    }

    pub(super) fn on_permit_decision(
        &mut self,
        id: u64,
        granted: bool,
        wait: Duration,
        limit: LimitStatement,
    ) {
        let Some((sent, reply)) = self.permits.pending.remove(&id) else { return };
        let statement = limit.sent_at(sent);
        // The requester may have given up.
        let _ = reply.send(Decision { granted, wait, statement });
    }

    /// Drops requests whose requester has given up, and state of servers that are not limited any more.
    pub(super) fn expire_permits(&mut self) {
        self.permits.pending.retain(|_, (_, reply)| !reply.is_closed());
        self.permits.issuer.expire(self.clock.now());
    }

    fn permit_issuers(&mut self, server: &ServerId, domain: &FailureDomain) -> Issuers {
        if let Some(known) = self.permits.selected.get(server) {
            return known.clone();
        }
        let selected = self.replica.permit_issuers(server, domain);
        if self.permits.selected.len() < MAX_SELECTED {
            self.permits.selected.insert(server.clone(), selected.clone());
        }
        selected
    }

    fn send_permit_message(&self, to: SocketAddr, message: &Message) {
        // A datagram that is lost is covered by the requester's timeout, and a lost withdrawal by the permits that follow.
        if let Err(err) = self.socket.try_send_to(&message.to_bytes(), to) {
            tracing::debug!(part = "backpressure", event = "not-sent", to = %to, error = ?err);
        }
    }
}

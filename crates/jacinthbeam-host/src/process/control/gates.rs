//! Datagrams from other hosts, and admission limits (gates) for overloaded owners, which granting hosts broadcast.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_range::{Event, admission::Gate, grantor::View as GrantView};
use jacinthbeam_types::prelude::*;

use super::state::Control;
use crate::process::{credits::Incoming, peers::load::Message};

/// Interval between two broadcasts of gates; the load reports that they are computed from arrive as often.
const GATES_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between two broadcasts of a granting host, which sends an empty one if no owner is overloaded: they are the heartbeats
/// that standby hosts watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// Lifetime of a received gate. Long enough that the loss of one or two datagrams changes nothing.
const GATES_TTL: Duration = Duration::from_millis(800);

impl Control {
    pub(super) fn on_datagram(&mut self, from: SocketAddr, message: Message) {
        match message {
            Message::Load { from, service, report } => {
                self.step(&service, Event::Load { from, report });
            }
            Message::Stopped { service, leader, epoch, others_left } => {
                tracing::info!(
                    part = "grant",
                    event = "predecessor-stopped",
                    service = %service,
                    host = %leader.host,
                    epoch = %epoch,
                    others_left_ms = others_left.as_millis() as u64,
                );
                self.step(&service, Event::PeerStopped { leader, epoch, others_left });
            }
            Message::Gates { gates, .. } => {
                self.standby.on_grantor_heartbeat(self.clock.now());
                self.apply_gates(gates);
            }
            Message::PermitRequest { id, server, limit } => {
                self.on_permit_request(from, id, &server, limit);
            }
            Message::PermitDecision { id, granted, wait, limit } => {
                self.on_permit_decision(id, granted, wait, limit);
            }
            Message::LimitWithdrawn { server, limit } => {
                self.permits.issuer.apply(&server, limit.sent_at(self.clock.now()));
            }
            Message::HostReport { from, service, report } => {
                self.on_host_report(&from, &service, report);
            }
            Message::DomainLoad { from, domain, service, sequence, load } => {
                self.on_domain_load(from, domain, &service, sequence, load);
            }
            Message::Plan { from, service, sequence, plan } => {
                self.on_plan(&from, &service, sequence, plan);
            }
            Message::ServerLoads { from, service, sequence, servers, service_times } => {
                self.on_server_loads(&from, &service, sequence, servers, service_times);
            }
            Message::CreditRequest { id, service, wanted } => {
                self.pass_credit_message(Incoming::Request { from, id, service, wanted });
            }
            Message::CreditGrant { id, service, granted } => {
                self.pass_credit_message(Incoming::Grant { id, service, granted });
            }
        }
    }

    fn apply_gates(&mut self, gates: BTreeMap<ServerId, Gate>) {
        if gates.is_empty() {
            return;
        }
        let until = self.clock.now() + GATES_TTL;
        self.gates.send_modify(|known| {
            known.extend(gates.into_iter().map(|(owner, gate)| (owner, (until, gate))));
        });
    }

    /// The gates of a service to broadcast now, or an empty heartbeat if one is due. Nothing unless this host leads the service.
    fn gate_messages(
        &mut self,
        service: &ServiceName,
        gates: &BTreeMap<ServerId, Gate>,
        now: Instant,
    ) -> Vec<Message> {
        let Some(granting) = self.granting.get_mut(service) else { return Vec::new() };
        let messages = Message::gates(service, gates);
        let due = granting.broadcast.is_none_or(|at| now >= at + HEARTBEAT_INTERVAL);
        if !granting.grantor.leads() || (messages.is_empty() && !due) {
            return Vec::new();
        }
        granting.broadcast = Some(now);
        match messages.is_empty() {
            true => vec![Message::Gates { service: service.clone(), gates: BTreeMap::new() }],
            false => messages,
        }
    }

    /// Drops expired gates, and broadcasts and applies the gates of the services that this host leads.
    pub(super) fn publish_gates(&mut self) {
        let now = self.clock.now();
        self.gates.send_if_modified(|known| {
            let before = known.len();
            known.retain(|_, (until, _)| now < *until);
            known.len() != before
        });
        if self.gates_published.is_some_and(|at| now < at + GATES_INTERVAL) {
            return;
        }
        self.gates_published = Some(now);
        let services: Vec<ServiceName> = self.granting.keys().cloned().collect();
        for service in services {
            let gates = self.current_gates(&service, now);
            for message in self.gate_messages(&service, &gates, now) {
                self.send_to_hosts(&message);
            }
            self.apply_gates(gates);
        }
    }

    pub(super) fn current_gates(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> BTreeMap<ServerId, Gate> {
        let Some(objective) = self.objective(service) else { return BTreeMap::new() };
        let Some(granting) = self.granting.get(service) else { return BTreeMap::new() };
        let servers = self.replica.servers();
        let view = GrantView { now, servers, servers_stable: true, max_owners: usize::MAX };
        let gates = granting.grantor.gates(view, objective);
        if !gates.is_empty() {
            tracing::debug!(part = "admission", event = "gates", service = %service, gates = ?gates);
        }
        gates
    }

    /// The latency objective of a service's least urgent route, whose requests are refused first.
    pub(super) fn objective(&self, service: &ServiceName) -> Option<Duration> {
        let cfg = self.replica.config()?;
        let routes =
            cfg.routes.iter().filter(|route| route.target.services().any(|s| s == service));
        routes.max_by_key(|route| route.priority).map(|route| route.objective)
    }

    pub(super) fn send_to_hosts(&self, message: &Message) {
        let bytes = message.to_bytes();
        for (host, entry) in self.replica.hosts().filter(|(host, _)| **host != self.me.host) {
            // A datagram that doesn't fit the send buffer is lost like one that the network drops; the next broadcast replaces it.
            if let Err(err) = self.socket.try_send_to(&bytes, entry.addr) {
                tracing::debug!(part = "peers", event = "gates-not-sent", host = %host, error = ?err);
            }
        }
    }
}

//! Gathering a dump.

use std::time::Instant;

use jacinthbeam_config::Division;
use jacinthbeam_types::prelude::*;

use super::{Control, attend::Tended, event::Source};
use crate::process::dump::{BackendServer, Connections, Dump, Member, Peer, Peers, Service};

impl Control {
    pub(super) fn dump(&self) -> Dump {
        let now = self.clock.now();
        let (remembered, remembered_bytes) = self.traffic.memory.size();
        let set = self.state.cells.get(&self.me.cell);
        let witnesses = set.into_iter().flat_map(|set| &set.members);
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        Dump {
            host: self.me.clone(),
            stopping: self.stopping.is_some(),
            config_version: self.state.config.version(),
            log_next: self.state.next,
            log_read_age_ms: self.proofs.log(&self.state).map(age),
            log_via: self.log_via(),
            log_reads: self.log_reads(),
            services: self.dump_services(),
            members: self.dump_members(now),
            peers: self.dump_peers(),
            witnesses: witnesses.map(|w| format!("{}/{}", w.host, w.incarnation)).collect(),
            promises: self.witness.promises().clone(),
            backend_servers: self
                .tended
                .iter()
                .map(|(id, tended)| (id.clone(), self.dump_server(now, id, tended)))
                .collect(),
            remembered,
            remembered_bytes,
            usage_at_risk: self.traffic.usage.at_risk(),
        }
    }

    fn log_via(&self) -> Option<HostId> {
        match self.follow.source() {
            Source::Log => None,
            Source::Relay { host, .. } => Some(host.clone()),
        }
    }

    fn dump_services(&self) -> std::collections::BTreeMap<ServiceName, Service> {
        let services = self.state.config().services.iter();
        let one = |(name, service): (&ServiceName, &jacinthbeam_config::Service)| {
            let division = self.state.services.get(name);
            let slots = match service.division {
                Division::Keyed { slots } => Some(slots as usize),
                Division::Undivided => None,
            };
            let dumped = Service {
                team: service.team.clone(),
                slots,
                owned: division.map(|division| division.owned()),
                servers: self.state.servers_of(name).count(),
            };
            (name.clone(), dumped)
        };
        services.map(one).collect()
    }

    fn dump_members(&self, now: Instant) -> Vec<Member> {
        let alive = |host: &HostId| self.members.live_host(now, host);
        let heard = self.book.peers().iter();
        let member = |(host, peer): (&HostId, &super::book::Peer)| Member {
            host: host.clone(),
            incarnation: peer.edition.incarnation,
            age_ms: Some(now.saturating_duration_since(peer.at).as_millis() as u64),
            alive: alive(host).is_some(),
            config_version: peer.config,
            log_next: Some(peer.next),
        };
        heard.map(member).collect()
    }

    fn dump_peers(&self) -> Peers {
        let peers = |client: &jacinthbeam_peer::Client| -> Vec<Peer> {
            client.dump().into_iter().map(Peer::from).collect()
        };
        Peers { control: peers(&self.peers), traffic: peers(&self.traffic.peers) }
    }

    fn dump_server(&self, now: Instant, id: &ServerId, tended: &Tended) -> BackendServer {
        let attended = tended.attended.as_ref().filter(|_| tended.open);
        BackendServer {
            service: tended.service.clone(),
            leaving: tended.leaving,
            owns: self.state.servers.get(id).map_or(0, |server| server.slots().len()),
            slots_remembered: self.traffic.memory.ready_slots(id),
            attendant: format!("{:?}", tended.attendant.summary(now)),
            admission: attended.map(|attended| attended.snapshot()),
            connections: attended.map(|attended| {
                let pool = attended.pool.snapshot();
                let (limit, open, idle) = (pool.limit, pool.open, pool.idle);
                Connections { limit, open, idle, suspected: pool.suspected }
            }),
        }
    }
}

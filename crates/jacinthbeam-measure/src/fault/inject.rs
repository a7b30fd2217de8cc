//! Bringing faults about, and healing them.

use std::{
    io,
    time::{Duration, Instant},
};

use jacinthbeam::{
    state::{CONTROL, Envelope, RecordId, State},
    types::prelude::*,
};
use jacinthbeam_standin::{log::Retention, relay::Fault};

use super::Kind;
use crate::{
    Deployment,
    deployment::{Error, Server},
    load::{Backend, Balancer},
};

/// How long the balancer goes on sending callers to a host that has gone.
const BALANCER_LAG: Duration = Duration::from_millis(500);
/// Delay of each answer of a slow log.
const SLOW: Duration = Duration::from_millis(400);
/// Answers to appends that are lost.
const LOST_ANSWERS: u32 = 2;
/// Time between two faults of one kind.
const BETWEEN: Duration = Duration::from_secs(2);

/// A fault that was brought about.
#[derive(Debug)]
pub struct Injected {
    /// What it was.
    pub kind: Kind,
    /// The backend server that it was about.
    pub server: ServerId,
    /// The entry hosts that it was about, the server's attendant first.
    pub hosts: Vec<HostId>,
    /// When.
    pub at: Instant,
    domain: FailureDomain,
    /// Lives of entry hosts that were ended.
    lost: Vec<Incarnation>,
    version: Option<ConfigVersion>,
}

impl Injected {
    /// Brings a fault about. `server` is attended by `host`; `state` is the present fold of the control stream.
    pub async fn inject(
        kind: Kind,
        (server, host): (&ServerId, &HostId),
        state: &State,
        deployment: &mut Deployment,
        balancer: &Balancer,
    ) -> Result<Self, Error> {
        let domain = deployment.servers[server].domain.clone();
        let (hosts, at) = (vec![host.clone()], Instant::now());
        let version = state.config.version();
        let (server_id, lost) = (server.clone(), Vec::new());
        let mut injected = Self { kind, server: server_id, hosts, at, domain, lost, version };
        let log = deployment.log.clone();
        match kind {
            Kind::KillAttendant => injected.kill_host(0, deployment, balancer).await,
            Kind::KillAttendantTwice => {
                injected.kill_host(0, deployment, balancer).await;
                tokio::time::sleep(BETWEEN).await;
                injected.hosts.extend(deployment.attendant_of(server).await);
                injected.kill_host(1, deployment, balancer).await;
            }
            Kind::StartInOutage => {
                log.set_down(true);
                injected.kill_host(0, deployment, balancer).await;
                tokio::time::sleep(BETWEEN).await;
                injected.start_hosts(deployment, balancer).await?;
            }
            Kind::Expired => {
                injected.kill_host(0, deployment, balancer).await;
                expire(deployment, state);
                tokio::time::sleep(BETWEEN).await;
            }
            Kind::KillServer => injected.kill_server(deployment),
            Kind::KillBoth => {
                injected.kill_server(deployment);
                injected.kill_host(0, deployment, balancer).await;
            }
            Kind::Freeze => deployment.servers[server].handle.freeze(),
            Kind::Silence => deployment.servers[server].handle.silence_connections(),
            Kind::Stop => injected.stop_host(deployment, balancer).await,
            Kind::Drain => injected.set_leaving(deployment),
            Kind::LogDown => log.set_down(true),
            Kind::LogSlow => log.set_slow(SLOW),
            Kind::LoseAnswers => {
                log.lose_next_answers(LOST_ANSWERS);
                injected.kill_server(deployment);
            }
            Kind::LogDownKillServer => {
                log.set_down(true);
                injected.kill_server(deployment);
            }
            Kind::CutServer | Kind::CutPlatform => injected.cut(deployment, true)?,
            Kind::CutDomain | Kind::CutBoth | Kind::CutOneWay => injected.cut(deployment, true)?,
        }
        Ok(injected)
    }

    /// Ends the fault: what was killed starts anew, what was cut is joined.
    pub async fn heal(
        &self,
        deployment: &mut Deployment,
        balancer: &Balancer,
    ) -> Result<(), Error> {
        let log = deployment.log.clone();
        match self.kind {
            Kind::KillAttendant | Kind::Stop | Kind::Expired => {
                self.start_hosts(deployment, balancer).await?;
            }
            Kind::KillAttendantTwice => {
                // Two witnesses of a cell are gone, and too few are left to name others. Only an operator can tell that
                // they don't come back.
                deployment.declare_lost(&self.lost, self.version)?;
                self.start_hosts(deployment, balancer).await?;
            }
            Kind::StartInOutage => log.set_down(false),
            Kind::KillServer => self.restart_server(deployment)?,
            Kind::KillBoth => {
                self.restart_server(deployment)?;
                self.start_hosts(deployment, balancer).await?;
            }
            Kind::Freeze => deployment.servers[&self.server].handle.unfreeze(),
            Kind::Silence => {}
            Kind::Drain => self.replace_server(deployment)?,
            Kind::LogDown => log.set_down(false),
            Kind::LogSlow => log.set_slow(Duration::ZERO),
            Kind::LoseAnswers => {
                log.lose_next_answers(0);
                self.restart_server(deployment)?;
            }
            Kind::LogDownKillServer => {
                log.set_down(false);
                self.restart_server(deployment)?;
            }
            Kind::CutServer | Kind::CutPlatform => self.cut(deployment, false)?,
            Kind::CutDomain | Kind::CutBoth | Kind::CutOneWay => self.cut(deployment, false)?,
        }
        Ok(())
    }

    /// Cuts what the kind says, or joins it again.
    fn cut(&self, deployment: &Deployment, cut: bool) -> Result<(), Error> {
        let Some(network) = &deployment.network else { return Ok(()) };
        let domain = &self.domain;
        match self.kind {
            Kind::CutServer => {
                let fault = if cut { Fault::BOTH } else { Fault::default() };
                network.set_server_fault(&self.hosts[0], &self.server, fault);
            }
            Kind::CutDomain | Kind::CutBoth => network.cut_domain(domain, cut, cut),
            Kind::CutOneWay => network.cut_domain(domain, cut, false),
            _ => {}
        }
        match (self.kind, cut) {
            (Kind::CutPlatform | Kind::CutBoth, true) => network.cut_platform(domain),
            (Kind::CutPlatform | Kind::CutBoth, false) => {
                network.heal_platform(domain).map_err(Error::StandIn)?;
            }
            _ => {}
        }
        Ok(())
    }

    async fn kill_host(&mut self, at: usize, deployment: &mut Deployment, balancer: &Balancer) {
        let Some(host) = self.hosts.get(at) else { return };
        let Some(entry) = deployment.entries.remove(host) else { return };
        let addr = entry.callers();
        self.lost.push(entry.identity().incarnation);
        // The drop waits for the control thread.
        let _ = tokio::task::spawn_blocking(move || drop(entry)).await;
        if let Some(network) = &deployment.network {
            network.set_host(host, None);
        }
        // Callers meet refused connections for a while, as behind a real balancer, and are sent to the next host.
        tokio::time::sleep(BALANCER_LAG).await;
        balancer.remove(host, addr);
        deployment.publish_list();
    }

    async fn stop_host(&self, deployment: &mut Deployment, balancer: &Balancer) {
        let host = &self.hosts[0];
        let Some(entry) = deployment.entries.remove(host) else { return };
        let addr = entry.callers();
        let stop = async {
            entry.stop().await;
            if let Some(network) = &deployment.network {
                network.set_host(host, None);
            }
        };
        let balance = async {
            tokio::time::sleep(BALANCER_LAG).await;
            balancer.remove(host, addr);
        };
        tokio::join!(stop, balance);
        deployment.publish_list();
    }

    async fn start_hosts(
        &self,
        deployment: &mut Deployment,
        balancer: &Balancer,
    ) -> Result<(), Error> {
        for host in &self.hosts {
            deployment.spawn_entry(host.clone(), &self.domain)?;
        }
        deployment.publish_list();
        for host in &self.hosts {
            deployment.until_ready(host).await;
            let addr = deployment.entries[host].callers();
            balancer.add(Backend { host: host.clone(), domain: self.domain.clone(), addr });
        }
        Ok(())
    }

    fn kill_server(&self, deployment: &Deployment) {
        deployment.servers[&self.server].handle.kill();
        if let Some(network) = &deployment.network {
            network.set_server_refuses(&self.server, true);
        }
    }

    fn restart_server(&self, deployment: &Deployment) -> Result<(), Error> {
        let restarted: io::Result<_> = deployment.servers[&self.server].handle.restart();
        if let Some(network) = &deployment.network {
            network.set_server_refuses(&self.server, false);
        }
        restarted.map(drop).map_err(Error::StandIn)
    }

    fn set_leaving(&self, deployment: &mut Deployment) {
        if let Some(server) = deployment.servers.get_mut(&self.server) {
            server.leaving = true;
        }
        deployment.publish_list();
    }

    /// The one that left is gone, and a cold one of another name joins.
    fn replace_server(&self, deployment: &mut Deployment) -> Result<(), Error> {
        self.kill_server(deployment);
        let Some(Server { service, domain, handle, .. }) = deployment.servers.remove(&self.server)
        else {
            return Ok(());
        };
        deployment.gone.push(handle);
        deployment.spawn_cold_server(&service, &domain)?;
        deployment.publish_list();
        Ok(())
    }
}

/// Appends a snapshot, as any host may, and lets all records before it expire.
fn expire(deployment: &Deployment, state: &State) {
    let parts = match state.to_snapshot_parts() {
        Ok(parts) => parts,
        Err(err) => return log::error!("measure: no snapshot made: {err}"),
    };
    for (sequence, record) in (1..).zip(parts) {
        let id = RecordId { incarnation: Incarnation(0), sequence: state.next.0 + sequence };
        let envelope = Envelope { id, why: "snapshot".into(), record };
        match envelope.encode() {
            Ok(buf) => drop(deployment.log.append(CONTROL, buf.into())),
            Err(err) => log::error!("measure: no snapshot written: {err}"),
        }
    }
    let records = deployment.log.records(CONTROL);
    let kept = records.iter().filter(|(offset, _)| *offset >= state.next).count();
    deployment.log.set_retention(Retention { records: Some(kept), age: None });
    // Looking at the records lets them expire. What is appended from now on is kept again.
    drop(deployment.log.records(CONTROL));
    deployment.log.set_retention(Retention::default());
}

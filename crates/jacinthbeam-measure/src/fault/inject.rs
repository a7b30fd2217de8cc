//! Bringing faults about, and healing them.

use std::{
    io,
    time::{Duration, Instant},
};

use jacinthbeam::types::prelude::*;

use super::Kind;
use crate::{
    Deployment,
    deployment::{self, Server},
    load::{Backend, Balancer},
};

/// How long the balancer goes on sending callers to a host that has gone.
const BALANCER_LAG: Duration = Duration::from_millis(500);
/// Delay of each answer of a slow log.
const SLOW: Duration = Duration::from_millis(400);
/// Answers to appends that are lost.
const LOST_ANSWERS: u32 = 2;

/// A fault that was brought about.
#[derive(Debug)]
pub struct Injected {
    /// What it was.
    pub kind: Kind,
    /// The backend server that it was about.
    pub server: ServerId,
    /// The entry host that it was about: the server's attendant.
    pub host: HostId,
    /// When.
    pub at: Instant,
    domain: FailureDomain,
}

impl Injected {
    /// Brings a fault about. `server` is attended by `host`.
    pub async fn inject(
        kind: Kind,
        server: &ServerId,
        host: &HostId,
        deployment: &mut Deployment,
        balancer: &Balancer,
    ) -> Self {
        let domain = deployment.servers[server].domain.clone();
        let injected =
            Self { kind, server: server.clone(), host: host.clone(), at: Instant::now(), domain };
        let handle = &deployment.servers[server].handle;
        match kind {
            Kind::KillAttendant => injected.kill_host(deployment, balancer).await,
            Kind::KillServer => handle.kill(),
            Kind::KillBoth => {
                handle.kill();
                injected.kill_host(deployment, balancer).await;
            }
            Kind::Freeze => handle.freeze(),
            Kind::Silence => handle.silence_connections(),
            Kind::Stop => injected.stop_host(deployment, balancer).await,
            Kind::Drain => injected.set_leaving(deployment),
            Kind::LogDown => deployment.log.set_down(true),
            Kind::LogSlow => deployment.log.set_slow(SLOW),
            Kind::LoseAnswers => {
                deployment.log.lose_next_answers(LOST_ANSWERS);
                handle.kill();
            }
            Kind::LogDownKillServer => {
                deployment.log.set_down(true);
                handle.kill();
            }
        }
        injected
    }

    /// Ends the fault: what was killed starts anew, what was cut is joined.
    pub fn heal(
        &self,
        deployment: &mut Deployment,
        balancer: &Balancer,
    ) -> Result<(), deployment::Error> {
        match self.kind {
            Kind::KillAttendant | Kind::Stop => self.start_host(deployment, balancer)?,
            Kind::KillServer => self.restart_server(deployment)?,
            Kind::KillBoth => {
                self.restart_server(deployment)?;
                self.start_host(deployment, balancer)?;
            }
            Kind::Freeze => deployment.servers[&self.server].handle.unfreeze(),
            Kind::Silence => {}
            Kind::Drain => self.replace_server(deployment)?,
            Kind::LogDown => deployment.log.set_down(false),
            Kind::LogSlow => deployment.log.set_slow(Duration::ZERO),
            Kind::LoseAnswers => {
                deployment.log.lose_next_answers(0);
                self.restart_server(deployment)?;
            }
            Kind::LogDownKillServer => {
                deployment.log.set_down(false);
                self.restart_server(deployment)?;
            }
        }
        Ok(())
    }

    async fn kill_host(&self, deployment: &mut Deployment, balancer: &Balancer) {
        let Some(entry) = deployment.entries.remove(&self.host) else { return };
        let addr = entry.callers();
        // The drop waits for the control thread.
        let _ = tokio::task::spawn_blocking(move || drop(entry)).await;
        // Callers meet refused connections for a while, as behind a real balancer, and are sent to the next host.
        tokio::time::sleep(BALANCER_LAG).await;
        balancer.remove(&self.host, addr);
        deployment.publish_list();
    }

    async fn stop_host(&self, deployment: &mut Deployment, balancer: &Balancer) {
        let Some(entry) = deployment.entries.remove(&self.host) else { return };
        let addr = entry.callers();
        let stop = entry.stop();
        let balance = async {
            tokio::time::sleep(BALANCER_LAG).await;
            balancer.remove(&self.host, addr);
        };
        tokio::join!(stop, balance);
        deployment.publish_list();
    }

    fn start_host(
        &self,
        deployment: &mut Deployment,
        balancer: &Balancer,
    ) -> Result<(), deployment::Error> {
        deployment.spawn_entry(self.host.clone(), &self.domain)?;
        deployment.publish_list();
        let addr = deployment.entries[&self.host].callers();
        let host = self.host.clone();
        balancer.add(Backend { host, domain: self.domain.clone(), addr });
        Ok(())
    }

    fn restart_server(&self, deployment: &Deployment) -> Result<(), deployment::Error> {
        let restarted: io::Result<_> = deployment.servers[&self.server].handle.restart();
        restarted.map(drop).map_err(deployment::Error::StandIn)
    }

    fn set_leaving(&self, deployment: &mut Deployment) {
        if let Some(server) = deployment.servers.get_mut(&self.server) {
            server.leaving = true;
        }
        deployment.publish_list();
    }

    /// The one that left is gone, and a cold one of another name joins.
    fn replace_server(&self, deployment: &mut Deployment) -> Result<(), deployment::Error> {
        let Some(Server { service, domain, handle, .. }) = deployment.servers.remove(&self.server)
        else {
            return Ok(());
        };
        handle.kill();
        deployment.gone.push(handle);
        deployment.spawn_cold_server(&service, &domain)?;
        deployment.publish_list();
        Ok(())
    }
}

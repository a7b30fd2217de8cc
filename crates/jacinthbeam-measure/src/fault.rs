//! Faults: what is taken away, and how it comes back.

use std::{fmt, str::FromStr, time::Duration};

use jacinthbeam::{range::KeyRange, types::prelude::*};

use crate::deployment::{Deployment, Error};

/// How long a fault stands.
pub const LASTS: Duration = Duration::from_secs(4);

/// Something that goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A host is killed, and started again.
    HostKilled,
    /// A host is told to stop, and started again.
    HostStopped,
    /// A host's process stands still.
    HostFrozen,
    /// A backend server of a keyed service ends without a word; another one starts.
    ServerLost,
    /// One says that it leaves, and ends some seconds later; another one starts.
    ServerLeaves,
    /// One answers nothing for a while, and goes on as if nothing had happened.
    ServerFrozen,
    /// The store refuses every call.
    StoreAway,
    /// The store answers nothing.
    StoreSilent,
}

impl Fault {
    /// All faults, by their names on the command line.
    pub const ALL: [(&'static str, Self); 8] = [
        ("host-killed", Self::HostKilled),
        ("host-stopped", Self::HostStopped),
        ("host-frozen", Self::HostFrozen),
        ("server-lost", Self::ServerLost),
        ("server-leaves", Self::ServerLeaves),
        ("server-frozen", Self::ServerFrozen),
        ("store-away", Self::StoreAway),
        ("store-silent", Self::StoreSilent),
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Self::ALL.iter().find(|(_, fault)| fault == self).map(|(name, _)| *name);
        f.write_str(name.unwrap_or_default())
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text).map(|(_, fault)| *fault);
        found.ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
            format!("{text:?} is none of {}", names.join(", "))
        })
    }
}

/// Where a fault strikes.
#[derive(Debug, Clone)]
pub enum Target {
    /// A host.
    Host(HostId),
    /// A backend server, by its place in the list, with what it held.
    Server {
        /// The server.
        id: ServerId,
        /// Its service.
        service: ServiceName,
        /// Its failure domain.
        domain: FailureDomain,
        /// The keys that it held.
        held: Vec<KeyRange>,
    },
    /// The store.
    Store,
}

impl Fault {
    /// Draws where the fault strikes. `None` if there is nothing of its kind.
    pub fn target(self, deployment: &Deployment, rng: &mut fastrand::Rng) -> Option<Target> {
        match self {
            Self::HostKilled | Self::HostStopped | Self::HostFrozen => {
                let hosts: Vec<&HostId> = deployment.hosts.keys().collect();
                Some(Target::Host(rng.choice(hosts)?.clone()))
            }
            Self::ServerLost | Self::ServerLeaves | Self::ServerFrozen => {
                let keyed = deployment.servers.iter().filter(|server| server.options.keyed);
                let server = rng.choice(keyed.collect::<Vec<_>>())?;
                Some(Target::Server {
                    id: server.options.id.clone(),
                    service: server.options.service.clone(),
                    domain: server.options.domain.clone(),
                    held: server.holds().into_iter().map(|(range, _)| range).collect(),
                })
            }
            Self::StoreAway | Self::StoreSilent => Some(Target::Store),
        }
    }

    /// Brings the fault about, lets it stand for [`LASTS`], and brings back what it took.
    pub async fn strike(self, on: &Target, deployment: &mut Deployment) -> Result<(), Error> {
        match on {
            Target::Host(host) => self.strike_host(host, deployment).await,
            Target::Server { id, service, domain, .. } => {
                self.strike_server(id, deployment).await;
                if self != Self::ServerFrozen {
                    deployment.spawn_server(service, domain).await?;
                }
                Ok(())
            }
            Target::Store => {
                let store = &deployment.store;
                if self == Self::StoreAway {
                    store.turn_away(true)
                } else {
                    store.freeze(true)
                }
                tokio::time::sleep(LASTS).await;
                if self == Self::StoreAway {
                    store.turn_away(false)
                } else {
                    store.freeze(false)
                }
                Ok(())
            }
        }
    }

    async fn strike_host(self, id: &HostId, deployment: &mut Deployment) -> Result<(), Error> {
        let host = deployment.hosts.get_mut(id).expect("targets are drawn from the list");
        match self {
            Self::HostFrozen => {
                host.freeze(true);
                tokio::time::sleep(LASTS).await;
                host.freeze(false);
                return Ok(());
            }
            Self::HostStopped => {
                host.tell_to_stop();
                host.join().await;
            }
            _ => host.kill().await,
        }
        tokio::time::sleep(LASTS / 2).await;
        deployment.restart(id)
    }

    async fn strike_server(self, id: &ServerId, deployment: &mut Deployment) {
        let at = deployment.servers.iter().position(|server| server.options.id == *id);
        let Some(at) = at else { return };
        match self {
            Self::ServerFrozen => {
                deployment.servers[at].freeze(true);
                tokio::time::sleep(LASTS).await;
                deployment.servers[at].freeze(false);
            }
            Self::ServerLeaves => {
                deployment.servers[at].leave();
                tokio::time::sleep(LASTS).await;
                deployment.retire(at);
            }
            _ => {
                deployment.retire(at);
                tokio::time::sleep(LASTS / 2).await;
            }
        }
    }
}

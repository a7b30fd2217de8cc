//! Bringing one fault about while probes read the keys that it concerns.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam::types::prelude::*;

use crate::{
    Deployment, deployment,
    fault::{Injected, Kind},
    judge::Window,
    load::{Balancer, Note, Probes, Through},
    owners::{Follower, Owners},
};

/// Probes alone before a fault.
const BEFORE: Duration = Duration::from_millis(500);
/// Longest time in which everything must be served again after a fault was healed.
const SETTLE: Duration = Duration::from_secs(30);
/// Probes after everything is served again.
const AFTER: Duration = Duration::from_secs(1);
/// Keys of one group whose unavailable time is measured.
const PROBED: usize = 8;
/// Keys among which the probed ones are looked for.
const CANDIDATES: usize = 20_000;

/// What a fault is brought about in.
pub(super) struct Running<'a> {
    pub(super) deployment: &'a mut Deployment,
    pub(super) follower: &'a Follower,
    pub(super) balancer: &'a Arc<Balancer>,
}

/// One fault that is over.
#[derive(Debug)]
pub(super) struct Done {
    pub(super) window: Window,
    /// When it was healed; the window ends some time after everything is served again.
    pub(super) healed: Instant,
    /// Time from then until everything was served.
    pub(super) served_again: Duration,
    pub(super) groups: Vec<Probed>,
    pub(super) before: Owners,
    pub(super) after: Owners,
    /// What was not served again in time.
    pub(super) unserved: Option<String>,
}

/// Probes of keys that a fault concerns in the same way.
#[derive(Debug)]
pub struct Probed {
    /// What the keys have in common.
    pub name: &'static str,
    /// Whether the keys can be served while the fault stands; else they are to be refused.
    pub can_be_served: bool,
    /// The reads.
    pub notes: Vec<Note>,
}

/// Probes to be started.
struct Group {
    name: &'static str,
    can_be_served: bool,
    keys: Vec<(ServiceName, String)>,
    through: Through,
}

impl Running<'_> {
    pub(super) async fn fault(
        &mut self,
        kind: Kind,
        rng: &mut fastrand::Rng,
    ) -> Result<Done, deployment::Error> {
        let (server, host) = self.pick(rng).await?;
        let groups = self.groups(kind, &server, &host).await;
        let before = self.follower.owners();
        let probes =
            groups.iter().map(|g| Probes::spawn(&g.keys, self.balancer, g.through.clone()));
        let probes: Vec<Probes> = probes.collect();
        tokio::time::sleep(BEFORE).await;
        log::info!("measure: {kind}: {server}, attended by {host}");
        let state = self.follower.state();
        let about = (&server, &host);
        let injected =
            Injected::inject(kind, about, &state, self.deployment, self.balancer).await?;
        tokio::time::sleep(kind.lasts()).await;
        let healed = Instant::now();
        injected.heal(self.deployment, self.balancer).await?;
        log::info!("measure: {kind}: healed");
        let unserved = self.deployment.until_served(SETTLE).await.err();
        let served_again = healed.elapsed();
        tokio::time::sleep(AFTER).await;
        let Injected { hosts, at: began, .. } = injected;
        let window = Window { kind, server, hosts, began, ended: Instant::now() };
        let mut probed = Vec::new();
        for (group, probes) in groups.iter().zip(probes) {
            let Group { name, can_be_served, .. } = *group;
            let mut notes = probes.stop().await;
            if kind.parts_domains() {
                notes.retain(|note| self.kept_domain(&note.service, &note.key, &before));
            }
            probed.push(Probed { name, can_be_served, notes });
        }
        Ok(Done {
            window,
            healed,
            served_again,
            groups: probed,
            before,
            after: self.follower.owners(),
            unserved: unserved.map(|err| err.to_string()),
        })
    }

    /// A backend server that owns slots, and its attendant.
    async fn pick(&self, rng: &mut fastrand::Rng) -> Result<(ServerId, HostId), deployment::Error> {
        let owners = self.follower.owners();
        let mut owning: Vec<&ServerId> = owners.values().collect();
        owning.sort();
        owning.dedup();
        owning.retain(|server| self.deployment.servers.contains_key(*server));
        rng.shuffle(&mut owning);
        for server in owning {
            if let Some(host) = self.deployment.attendant_of(server).await {
                return Ok((server.clone(), host));
            }
        }
        Err(deployment::Error::NotReady("no backend server is attended".into()))
    }

    /// The keys that the fault concerns.
    async fn groups(&self, kind: Kind, server: &ServerId, host: &HostId) -> Vec<Group> {
        let domain = &self.deployment.servers[server].domain;
        let inside = |id: &ServerId| {
            self.deployment.servers.get(id).is_some_and(|server| server.domain == *domain)
        };
        let group =
            |name, can_be_served, keys, through| Group { name, can_be_served, keys, through };
        match kind {
            Kind::CutPlatform => vec![
                group("inside", true, self.keys(inside), Through::Inside(domain.clone())),
                group(
                    "outside",
                    true,
                    self.keys(|id| !inside(id)),
                    Through::Outside(domain.clone()),
                ),
            ],
            kind if kind.parts_domains() => vec![
                group("inside", true, self.keys(inside), Through::Inside(domain.clone())),
                group(
                    "outside",
                    true,
                    self.keys(|id| !inside(id)),
                    Through::Outside(domain.clone()),
                ),
                group(
                    "from inside",
                    false,
                    self.keys(|id| !inside(id)),
                    Through::Inside(domain.clone()),
                ),
                group("from outside", false, self.keys(inside), Through::Outside(domain.clone())),
            ],
            Kind::LogDown | Kind::LogSlow => {
                vec![group("any", true, self.keys(|_| true), Through::Any)]
            }
            Kind::KillAttendant | Kind::Stop | Kind::StartInOutage | Kind::Expired => {
                let attended = self.attended(host).await;
                vec![group("attended", true, self.keys(|id| attended.contains(id)), Through::Any)]
            }
            _ => vec![group("owned", true, self.keys(|id| id == server), Through::Any)],
        }
    }

    async fn attended(&self, host: &HostId) -> Vec<ServerId> {
        let dump = match self.deployment.entries.get(host) {
            Some(entry) => entry.dump().await,
            None => None,
        };
        let servers = dump.into_iter().flat_map(|dump| dump.backend_servers);
        servers.filter(|(_, server)| server.admission.is_some()).map(|(id, _)| id).collect()
    }

    /// Whether the owner of a key lies in the same failure domain as before. A key that was moved to another one meanwhile can be
    /// served on the other side of a cut only.
    fn kept_domain(&self, service: &ServiceName, key: &str, before: &Owners) -> bool {
        let state = self.follower.state();
        let Some(division) = state.services.get(service) else { return false };
        let slot = division.slot_of(KeyHash::of(key.as_bytes()));
        let domain = |owner: &ServerId| Some(&self.deployment.servers.get(owner)?.domain);
        let now = division.owner(slot).and_then(|owner| domain(&owner.server).cloned());
        before.get(&(service.clone(), slot)).and_then(|owner| domain(owner).cloned()) == now
    }

    /// Some keys whose owner is so.
    fn keys(&self, is_owner: impl Fn(&ServerId) -> bool) -> Vec<(ServiceName, String)> {
        let state = self.follower.state();
        let candidates = (0..CANDIDATES).flat_map(|number| {
            state.services.keys().map(move |service| (service, format!("probe{number}")))
        });
        let owned = candidates.filter(|(service, key)| {
            let division = &state.services[*service];
            let slot = division.slot_of(KeyHash::of(key.as_bytes()));
            division.owner(slot).is_some_and(|owner| is_owner(&owner.server))
        });
        owned.take(PROBED).map(|(service, key)| (service.clone(), key)).collect()
    }
}

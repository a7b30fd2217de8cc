//! Entry hosts of one cell, without callers.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam::{
    config::folder::Snapshot,
    platform::{
        format::hosts::{EntryHost, HostList},
        log,
    },
    state::{CONTROL, USAGE},
};

use super::{HostCost, Vary};
use crate::{Deployment, Plan, deployment, process, process::ProcessorTime, publish::Publisher};

/// The one failure domain.
const DOMAIN: &str = "bench";
/// Time in which elections, grants and connections settle.
const SETTLE: Duration = Duration::from_secs(3);
/// Hosts that are added to see what memory one takes.
const ADDED: usize = 4;
/// Entry hosts of a cell of the fleet.
const CELL: u32 = 16;
/// Failure domains of the fleet.
const DOMAINS: u32 = 28;
/// Bound of one append.
const APPEND: Duration = Duration::from_secs(5);

/// Sizes of everything.
struct World {
    members: usize,
    servers: usize,
    slots: u32,
    services: u32,
    nodes: u32,
    changes: u32,
}

impl World {
    fn of(vary: Vary, size: u32) -> Self {
        let mut world =
            Self { members: 4, servers: 12, slots: 1200, services: 0, nodes: 0, changes: 0 };
        match vary {
            Vary::Servers => {
                world.servers = size as usize;
                world.slots = size * 100;
            }
            Vary::Slots => world.slots = size.max(1200),
            Vary::Members => world.members = size.max(1) as usize,
            Vary::Services => world.services = size,
            Vary::Nodes => world.nodes = size,
            Vary::BusyNodes => {
                world.nodes = size;
                world.changes = 1000;
            }
            Vary::Changes => world.changes = size,
            Vary::Files | Vary::Splits | Vary::List | Vary::Peers => {}
        }
        world
    }

    fn plan(&self) -> Plan {
        let domain = DOMAIN.parse().expect("a proper name");
        Plan {
            entry_hosts: BTreeMap::from([(domain, self.members)]),
            most_servers: self.servers,
            undivided_servers: 0,
            ..Plan::new([DOMAIN, "b", "c"])
        }
    }

    fn folder(&self) -> Snapshot {
        let service = |name: String, division: String| {
            let rest = r#""concurrency": 3, "connections": 130, "team": "bench""#;
            format!(r#""{name}": {{ "division": {division}, {rest} }}"#)
        };
        let keyed = format!(r#"{{ "keyed": {{ "slots": {} }} }}"#, self.slots);
        let mut services = vec![service("bench".into(), keyed)];
        let more =
            (0..self.services).map(|n| service(format!("more-{n}"), r#""undivided""#.into()));
        services.extend(more);
        let text = format!(r#"{{ "services": {{ {} }} }}"#, services.join(", "));
        let name = "bench.json".parse().expect("a proper name");
        Snapshot { files: BTreeMap::from([(name, text)]) }
    }
}

/// What one entry host costs at this size.
pub(super) async fn measure(
    vary: Vary,
    size: u32,
    lasts: Duration,
) -> Result<HostCost, deployment::Error> {
    let world = World::of(vary, size);
    let mut deployment = Deployment::spawn(world.plan(), &world.folder()).await?;
    list_others(&deployment, world.nodes);
    tokio::time::sleep(SETTLE).await;

    let before = Reading::of(&deployment);
    publish(&deployment, world.changes, lasts).await?;
    let after = Reading::of(&deployment);
    let mut cost = after.since(&before, &deployment, lasts);
    cost.size = size;

    let resident = process::resident().0;
    for number in 0..ADDED {
        let domain = DOMAIN.parse().expect("a proper name");
        let host = format!("added-{number}").parse().expect("a proper name");
        deployment.spawn_entry(host, &domain)?;
    }
    list_others(&deployment, world.nodes);
    deployment.until_served(Duration::from_secs(30)).await?;
    tokio::time::sleep(SETTLE).await;
    cost.memory = process::resident().0.saturating_sub(resident) as f64 / ADDED as f64;
    // Nothing is in progress, so nothing is lost by ending at once. The hosts go first, or they miss the log.
    deployment.entries.clear();
    drop(deployment);
    Ok(cost)
}

/// What has been used at one moment.
struct Reading {
    used: ProcessorTime,
    bytes: u64,
    control: usize,
    usage: usize,
    reads: u64,
}

impl Reading {
    fn of(deployment: &Deployment) -> Self {
        Self {
            used: ProcessorTime::now(),
            bytes: process::loopback().0,
            control: deployment.log.records(CONTROL).len(),
            usage: deployment.log.records(USAGE).len(),
            reads: deployment.log.reads(),
        }
    }

    fn since(&self, before: &Self, deployment: &Deployment, lasts: Duration) -> HostCost {
        let share = |total: f64| total / deployment.entries.len() as f64 / lasts.as_secs_f64();
        let used = self.used.since(&before.used);
        HostCost {
            size: 0,
            control: share(used.control.as_secs_f64()),
            traffic: share(used.traffic.as_secs_f64()),
            bytes: share((self.bytes - before.bytes) as f64),
            control_appends: (self.control - before.control) as f64 / lasts.as_secs_f64(),
            usage_appends: (self.usage - before.usage) as f64 / lasts.as_secs_f64(),
            reads: share((self.reads - before.reads) as f64),
            memory: 0.0,
            load_average: process::load_average(),
        }
    }
}

/// Passes the time, with changes of configuration spread over it.
async fn publish(
    deployment: &Deployment,
    in_hundred_seconds: u32,
    lasts: Duration,
) -> Result<(), deployment::Error> {
    let until = tokio::time::Instant::now() + lasts;
    if in_hundred_seconds > 0 {
        let client = log::Client::open(deployment.log.addr(), APPEND);
        let mut publisher = Publisher::new(deployment).await?;
        let every = Duration::from_secs(100) / in_hundred_seconds;
        for number in 0..(lasts.as_secs_f64() / every.as_secs_f64()) as u32 {
            let next = tokio::time::Instant::now() + every;
            let record = publisher.next(number)?;
            let appended = client.append(CONTROL, record).await;
            let offset = appended.map_err(|err| deployment::Error::Publish(err.to_string()))?;
            publisher.accepted(offset);
            tokio::time::sleep_until(next.min(until)).await;
        }
    }
    tokio::time::sleep_until(until).await;
    Ok(())
}

/// Adds hosts of other cells to the platform's list. They don't exist; nothing of this cell asks them anything.
fn list_others(deployment: &Deployment, count: u32) {
    deployment.publish_list();
    let mut list = deployment.hosts.list();
    list.entry_hosts.extend(others(count));
    deployment.hosts.set_list(HostList { ..list });
}

/// Entry hosts of other cells, in as many failure domains as the fleet has. One of them is that of the hosts under measurement: what
/// the hosts of a failure domain share must not fall on these few alone.
pub(super) fn others(count: u32) -> impl Iterator<Item = EntryHost> {
    let cell = |n: u32| match n % DOMAINS {
        0 => format!("{DOMAIN}:{}", 1 + n / DOMAINS / CELL),
        domain => format!("other-{domain}:{}", n / DOMAINS / CELL),
    };
    (0..count).map(move |n| EntryHost {
        id: format!("entry-{n:05}").parse().expect("a proper name"),
        cell: cell(n).parse().expect("a proper name"),
        peer_address: ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 8081).into(),
        leaving: false,
    })
}

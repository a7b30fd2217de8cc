//! What came of an experiment.

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use jacinthbeam::types::prelude::*;
use jacinthbeam_standin::backend::Outcome;
use serde::{Serialize, Serializer};

use crate::{
    experiment::{Probed, Stalls},
    fault::Kind,
    judge::{Broken, Promise, ServerRecord, Unavailable, unavailable},
    load::{Ended, Note},
    owners::Owners,
};

/// What came of an experiment.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Seed.
    pub seed: u64,
    /// How long the load lasted.
    pub seconds: f64,
    /// How much the machine itself delayed the experiment.
    pub stalls: Stalls,
    /// The faults in their order.
    pub episodes: Vec<Episode>,
    /// Load of each service over its owners.
    pub imbalance: BTreeMap<ServiceName, Imbalance>,
    /// Requests of the load over all, probes not counted.
    pub requests: Requests,
    /// Requests that backend servers admitted, those of probes included.
    pub admitted: u64,
    /// Requests that backend servers refused.
    pub refused_by_servers: u64,
    /// Promises that were broken.
    pub broken: Broken,
}

/// One fault.
#[derive(Debug, Serialize)]
pub struct Episode {
    /// Which.
    #[serde(serialize_with = "as_text")]
    pub fault: Kind,
    /// The backend server that it was about.
    pub server: ServerId,
    /// The entry hosts that it was about, that server's attendant first.
    pub hosts: Vec<HostId>,
    /// Milliseconds from its beginning until it was healed.
    pub fault_ms: u64,
    /// Milliseconds from then until every slot was served.
    pub served_again_ms: u64,
    /// What became of the keys that it concerned.
    pub groups: Vec<Group>,
    /// Slots that have another owner afterwards.
    pub changed: usize,
    /// Slots that the server owned before.
    pub slots_of_server: usize,
    /// Requests in progress in that time, probes included.
    pub requests: Requests,
}

/// Keys that a fault concerned in the same way.
#[derive(Debug, Serialize)]
pub struct Group {
    /// What they have in common.
    pub name: &'static str,
    /// Whether they can be served while the fault stands; else they are to be refused at once.
    pub can_be_served: bool,
    /// Unavailable time of each key: of all the time if they can be served, else of the time after the fault was healed.
    pub unavailable_ms: Vec<u64>,
    /// Reads of keys that can be served which failed nevertheless.
    pub failed: u64,
    /// How long each refusal took, ascending.
    pub refused_after_ms: Vec<u64>,
    /// How the reads ended.
    pub requests: Requests,
}

impl Group {
    /// Judges the reads of a group from `began` on, where the fault was healed at `healed`, until `ended`.
    pub fn of(probed: &Probed, began: Instant, healed: Instant, ended: Instant) -> Self {
        let Probed { name, can_be_served, notes } = probed;
        let from = if *can_be_served { began } else { healed };
        let time = |unavailable: Unavailable| unavailable.time.as_millis() as u64;
        let refused = notes.iter().filter(|note| note.sent >= began && !note.is_success());
        let mut after: Vec<u64> =
            refused.map(|note| (note.ended_at - note.sent).as_millis() as u64).collect();
        after.sort_unstable();
        Self {
            name,
            can_be_served: *can_be_served,
            failed: if *can_be_served { after.len() as u64 } else { 0 },
            unavailable_ms: unavailable(notes, from, ended).into_iter().map(time).collect(),
            refused_after_ms: after,
            requests: Requests::of(notes.iter().filter(|note| note.sent >= began)),
        }
    }
}

impl Group {
    /// Whether the keys were unavailable for longer than is aimed at.
    ///
    /// Where the aim is no unavailable time at all, no read may fail; one that was answered late has waited for another request.
    fn misses(&self, fault: Kind) -> bool {
        let longest = self.unavailable_ms.iter().max().copied().unwrap_or_default();
        match fault.aim() {
            _ if !self.can_be_served => false,
            None => false,
            Some(Duration::ZERO) => self.failed > 0,
            Some(aim) => u128::from(longest) > aim.as_millis(),
        }
    }
}

/// Load of a service over its owners.
#[derive(Debug, Serialize)]
pub struct Imbalance {
    /// Backend servers that own slots.
    pub servers: usize,
    /// Requests that they ran in the calm time at the end.
    pub ran: u64,
    /// Most requests of one server, by the mean.
    pub max_by_mean: f64,
}

/// How requests ended.
#[derive(Debug, Default, Serialize)]
pub struct Requests {
    /// In all.
    pub sent: u64,
    /// By verdict, or by how they ended without one.
    pub by_end: BTreeMap<String, u64>,
    /// Refusals by their text.
    pub refusals: BTreeMap<String, u64>,
}

fn as_text<S: Serializer>(kind: &Kind, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(kind)
}

impl Requests {
    /// Counts requests.
    pub fn of<'a>(notes: impl Iterator<Item = &'a Note>) -> Self {
        let mut counts = Self::default();
        for note in notes {
            counts.sent += 1;
            let end = match &note.ended {
                Ended::Answered(answered) => match answered.verdict {
                    Some(verdict) => verdict.to_string(),
                    None => "no-verdict".into(),
                },
                Ended::NotSent => "not-sent".into(),
                Ended::Broken => "broken".into(),
                Ended::Late => "late".into(),
            };
            *counts.by_end.entry(end).or_default() += 1;
            if let Ended::Answered(answered) = &note.ended
                && !answered.refusal.is_empty()
            {
                *counts.refusals.entry(answered.refusal.clone()).or_default() += 1;
            }
        }
        counts
    }
}

/// Load of each keyed service over the servers that own its slots, since `since`.
pub fn imbalance(
    servers: &[ServerRecord],
    owners: &Owners,
    since: Instant,
) -> BTreeMap<ServiceName, Imbalance> {
    let mut loads: BTreeMap<ServiceName, BTreeMap<ServerId, u64>> = BTreeMap::new();
    for ((service, _), owner) in owners {
        loads.entry(service.clone()).or_default().insert(owner.clone(), 0);
    }
    for server in servers {
        let Some(load) = loads.get_mut(&server.service).and_then(|l| l.get_mut(&server.id)) else {
            continue;
        };
        let ran = |run: &&jacinthbeam_standin::backend::Run| {
            run.outcome == Outcome::Ran && run.at_start >= since
        };
        *load = server.runs.iter().filter(ran).count() as u64;
    }
    loads.into_iter().map(|(service, loads)| (service, Imbalance::of(&loads))).collect()
}

impl Imbalance {
    fn of(loads: &BTreeMap<ServerId, u64>) -> Self {
        let ran: u64 = loads.values().sum();
        let max = loads.values().max().copied().unwrap_or_default();
        let mean = ran as f64 / loads.len() as f64;
        let max_by_mean = if ran == 0 { 0.0 } else { max as f64 / mean };
        Self { servers: loads.len(), ran, max_by_mean }
    }
}

impl Report {
    /// Groups of keys that were unavailable for longer than is aimed at.
    pub fn missed_aims(&self) -> Vec<(Kind, &Group)> {
        let groups = self
            .episodes
            .iter()
            .flat_map(|episode| episode.groups.iter().map(move |group| (episode.fault, group)));
        groups.filter(|(fault, group)| group.misses(*fault)).collect()
    }

    /// Failed reads of keys that can be served, by fault and group.
    pub fn failed(&self) -> BTreeMap<(Kind, &'static str), u64> {
        let mut failed = BTreeMap::new();
        for episode in &self.episodes {
            for group in episode.groups.iter().filter(|group| group.can_be_served) {
                *failed.entry((episode.fault, group.name)).or_default() += group.failed;
            }
        }
        failed
    }

    /// Unavailable times of all keys by fault and group, ascending.
    pub fn unavailable(&self) -> BTreeMap<(Kind, &'static str), Vec<u64>> {
        self.by_group(|group| &group.unavailable_ms)
    }

    /// Times that refusals took, by fault and group of keys that can't be served, ascending.
    pub fn refused_after(&self) -> BTreeMap<(Kind, &'static str), Vec<u64>> {
        let mut times = self.by_group(|group| match group.can_be_served {
            true => &[],
            false => &group.refused_after_ms,
        });
        times.retain(|_, times| !times.is_empty());
        times
    }

    fn by_group<'a>(
        &'a self,
        times_of: impl Fn(&'a Group) -> &'a [u64],
    ) -> BTreeMap<(Kind, &'static str), Vec<u64>> {
        let mut times: BTreeMap<(Kind, &'static str), Vec<u64>> = BTreeMap::new();
        for episode in &self.episodes {
            for group in &episode.groups {
                times.entry((episode.fault, group.name)).or_default().extend(times_of(group));
            }
        }
        times.values_mut().for_each(|times| times.sort_unstable());
        times
    }
}

/// The smallest value that at least the share `q` of ascending values do not exceed; 0 for none.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} seed {}, {:.0} s of load", self.deployment, self.seed, self.seconds)?;
        let Stalls { longest_ms, long } = self.stalls;
        writeln!(
            f,
            "a sleeping thread was late by at most {longest_ms} ms, {long} times by more than 100 ms"
        )?;
        self.write_unavailable(f)?;
        self.write_episodes(f)?;
        for (service, imbalance) in &self.imbalance {
            let Imbalance { servers, ran, max_by_mean } = imbalance;
            writeln!(
                f,
                "imbalance {service}: max/mean {max_by_mean:.2} ({ran} requests, {servers} owners)"
            )?;
        }
        writeln!(f, "requests: {}", self.requests)?;
        let Self { admitted, refused_by_servers, .. } = self;
        writeln!(f, "at backend servers: {admitted} admitted, {refused_by_servers} refused")?;
        self.write_broken(f)
    }
}

impl Report {
    fn write_unavailable(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "unavailable time (ms)")?;
        write_times(f, "keys", &self.unavailable())?;
        writeln!(f, "failed reads of keys that can be served")?;
        for ((kind, group), failed) in self.failed() {
            writeln!(f, "  {:<21} {group:<12} {failed:>6}", kind.as_str())?;
        }
        let refused = self.refused_after();
        if !refused.is_empty() {
            writeln!(f, "time until keys that can't be served are refused (ms)")?;
            write_times(f, "reads", &refused)?;
        }
        Ok(())
    }

    fn write_episodes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for episode in &self.episodes {
            let Episode { fault, server, hosts, changed, slots_of_server, .. } = episode;
            let hosts: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
            let host = hosts.join(", ");
            writeln!(
                f,
                "{fault}: {server} attended by {host}, {changed} slots changed owner (it owned {slots_of_server}), \
                 served again {} ms after healing; {}",
                episode.served_again_ms, episode.requests
            )?;
        }
        Ok(())
    }

    fn write_broken(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for promise in Promise::ALL {
            writeln!(f, "broken {:>5}: {promise}", self.broken.times(promise))?;
            let examples =
                self.broken.0.get(&promise).into_iter().flat_map(|count| &count.examples);
            for example in examples {
                writeln!(f, "             {example}")?;
            }
        }
        for (kind, Group { name, failed, unavailable_ms, .. }) in self.missed_aims() {
            let longest = unavailable_ms.iter().max().copied().unwrap_or_default();
            writeln!(
                f,
                "aim missed: {kind}, {name}: {failed} reads failed, a key waited {longest} ms"
            )?;
        }
        Ok(())
    }
}

fn write_times(
    f: &mut fmt::Formatter<'_>,
    count: &str,
    times: &BTreeMap<(Kind, &'static str), Vec<u64>>,
) -> fmt::Result {
    writeln!(
        f,
        "  {:<21} {:<12} {count:>6} {:>7} {:>7} {:>7}",
        "fault", "of", "p50", "p99", "max"
    )?;
    for ((kind, group), times) in times {
        let [p50, p99, max] = [0.5, 0.99, 1.0].map(|q| quantile(times, q));
        let count = times.len();
        writeln!(f, "  {:<21} {group:<12} {count:>6} {p50:>7} {p99:>7} {max:>7}", kind.as_str())?;
    }
    Ok(())
}

impl fmt::Display for Requests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} sent", self.sent)?;
        for (end, count) in &self.by_end {
            write!(f, ", {count} {end}")?;
        }
        for (text, count) in &self.refusals {
            write!(f, "; {count} × {text}")?;
        }
        Ok(())
    }
}

//! When a cell counts as silent for the hosts of other cells.
//!
//! A few hosts of other failure domains watch each cell, picked by rendezvous, so that what
//! watching costs a host does not grow with the fleet. A cell is silent when, for [`SILENT_AFTER`],
//! none of its hosts has told a watcher that it still reads the log. One watcher can't tell whether
//! the cell or its own failure domain is cut off, so watchers in a majority of the failure domains
//! have to agree. A wrong judgement costs churn and no safety: see
//! [`evictions`](crate::abandoned::evictions).

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use jacinthbeam_types::{key::rendezvous_weight, prelude::*};

/// How long no host of a cell may be known to read the log until the cell counts as silent.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);
/// How long the word of another watcher counts.
pub const WORD_COUNTS_FOR: Duration = Duration::from_millis(1500);
/// Failure domains that watch a cell, beside its own.
const DOMAINS: usize = 4;
/// Watchers in each of them, so that the loss of one host leaves nobody unwatched.
const WATCHERS_A_DOMAIN: usize = 2;

/// All listed hosts, for finding out who watches which cell.
///
/// A host has to find the cells that it watches among more than a thousand, and the watchers of one
/// are picked among twenty thousand hosts; ranking all of them for each cell takes seconds, in
/// which a control thread renews no lease. So hosts are ranked only in the failure domains that are
/// picked, and first in the asking host's own.
#[derive(Debug)]
pub struct Fleet<'a>(BTreeMap<FailureDomain, Vec<&'a HostId>>);

/// A host with its rendezvous weight for a cell.
type Ranked<'a> = (u64, &'a HostId);

impl<'a> Fleet<'a> {
    /// The hosts with their cells.
    pub fn new(hosts: impl Iterator<Item = (&'a HostId, &'a CellId)>) -> Self {
        let mut by_domain: BTreeMap<FailureDomain, Vec<&HostId>> = BTreeMap::new();
        for (host, cell) in hosts {
            by_domain.entry(cell.failure_domain()).or_default().push(host);
        }
        Self(by_domain)
    }

    /// The hosts that watch a cell, best first. Each host comes to the same answer from the same list.
    pub fn watchers(&self, cell: &CellId) -> Vec<&'a HostId> {
        let domains = self.domains_for(cell).into_iter();
        let mut picked: Vec<_> = domains.flat_map(|domain| self.picked_in(domain, cell)).collect();
        picked.sort_by_key(|ranked| Reverse(*ranked));
        picked.into_iter().map(|(_, host)| host).collect()
    }

    /// Whether `host`, which lies in failure domain `own`, is among [`Self::watchers`]; at a
    /// fraction of the cost.
    pub fn is_watched_by(&self, cell: &CellId, own: &FailureDomain, host: &HostId) -> bool {
        self.domains_for(cell).contains(&own)
            && self.picked_in(own, cell).iter().any(|(_, picked)| *picked == host)
    }

    /// The failure domains that watch a cell.
    fn domains_for(&self, cell: &CellId) -> Vec<&FailureDomain> {
        let own = cell.failure_domain();
        let mut domains: Vec<_> = self.0.keys().filter(|domain| **domain != own).collect();
        domains.sort_by_cached_key(|domain| {
            Reverse(rendezvous_weight(cell.as_str(), domain.as_str()))
        });
        domains.truncate(DOMAINS);
        domains
    }

    /// The best hosts of a failure domain for a cell.
    fn picked_in(&self, domain: &FailureDomain, cell: &CellId) -> Vec<Ranked<'a>> {
        let hosts = self.0.get(domain).into_iter().flatten();
        let mut best: Vec<Ranked<'a>> = Vec::new();
        for host in hosts {
            best.push((rendezvous_weight(cell.as_str(), host.as_str()), host));
            best.sort_by_key(|ranked| Reverse(*ranked));
            best.truncate(WATCHERS_A_DOMAIN);
        }
        best
    }
}

/// The hosts that watch one cell, best first; see [`Fleet::watchers`].
pub fn watchers<'a>(
    cell: &CellId,
    hosts: impl Iterator<Item = (&'a HostId, &'a CellId)>,
) -> Vec<&'a HostId> {
    Fleet::new(hosts).watchers(cell)
}

/// What one watcher knows of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watch {
    own: FailureDomain,
    /// Failure domains that have a say: that of the cell and those of its watchers.
    domains: BTreeSet<FailureDomain>,
    /// Start of the present time of watching without a gap, or the last time at which a host of the
    /// cell read the log.
    since: Instant,
    /// When each other failure domain was last asked and found the cell silent.
    agreed: BTreeMap<FailureDomain, Instant>,
}

impl Watch {
    /// Starts to watch a cell at a host of failure domain `own`; `others` are those of all its watchers.
    pub fn new(
        now: Instant,
        cell: &CellId,
        own: FailureDomain,
        others: BTreeSet<FailureDomain>,
    ) -> Self {
        let mut watch = Self { own, domains: BTreeSet::new(), since: now, agreed: BTreeMap::new() };
        watch.set_watchers(cell, others);
        watch
    }

    /// Takes over the failure domains of the watchers in a newer list of hosts.
    pub fn set_watchers(&mut self, cell: &CellId, others: BTreeSet<FailureDomain>) {
        self.domains = others;
        self.domains.insert(cell.failure_domain());
        self.domains.insert(self.own.clone());
    }

    /// This host has not read the log of late, so it can't tell whether a cell reads it. Watching
    /// starts anew.
    ///
    /// After an outage of the log the hosts find it back at different times. The first one would
    /// else judge all cells by the time before the outage.
    pub fn interrupted(&mut self, now: Instant) {
        self.since = now;
        self.agreed.clear();
    }

    /// A host of the cell read the log at `at`, or a watcher knows that one did.
    pub fn read_the_log(&mut self, at: Instant) {
        if at > self.since {
            self.since = at;
            self.agreed.clear();
        }
    }

    /// A watcher of failure domain `domain`, asked at `asked`, has found the cell silent for this long.
    pub fn told(&mut self, asked: Instant, domain: FailureDomain, silent_for: Duration) {
        if let Some(at) = asked.checked_sub(silent_for) {
            self.read_the_log(at);
        }
        if silent_for >= SILENT_AFTER {
            self.agreed.insert(domain, asked);
        }
    }

    /// How long the cell has been silent, as far as this host knows.
    pub fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether the cell is silent by the word of a majority of the failure domains.
    pub fn is_silent(&self, now: Instant) -> bool {
        let counts = |at: &Instant| now.saturating_duration_since(*at) <= WORD_COUNTS_FOR;
        let agreed = self.agreed.iter().filter(|(domain, at)| {
            counts(at) && **domain != self.own && self.domains.contains(domain)
        });
        self.silent_for(now) >= SILENT_AFTER && 2 * (1 + agreed.count()) > self.domains.len()
    }
}

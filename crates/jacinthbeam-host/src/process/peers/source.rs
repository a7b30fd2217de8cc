//! Whom a host asks for news of the store, and whose answers it goes on. No I/O.
//!
//! Calls to the store are limited and priced over all hosts. If each host read for itself, what is asked of the store would
//! grow with the fleet; so in each failure domain the hosts stand in the order of their names, each asks the first of those
//! before it that reads the store itself, and only one that finds nobody reads it. Nobody is elected: a host that dies, falls silent
//! or is cut off from the store is passed over by those behind it within a second or so.
//!
//! A host that the store turns away asks another, of its own failure domain if one there reads the store.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// Time after which a host that can't read the store looks for another host that can: a pause between reads, and as much again
/// for a slow answer. What the store acknowledges has two seconds to act everywhere.
pub const LOST_AFTER: Duration = Duration::from_millis(950);

/// A host before this one that gave no answer, or none to go on, is passed over for this long.
const PASSED_OVER_FOR: Duration = Duration::from_secs(3);

/// The same for a host that is asked because the store turns this one away. Another may be asked at once, and there are few.
const BEHIND_FOR: Duration = Duration::from_secs(1);

/// Hosts as the control thread knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Those before this one in its failure domain, in order.
    pub before: Vec<(HostId, SocketAddr)>,
    /// All others of its failure domain, those before it included.
    pub near: Vec<(HostId, SocketAddr)>,
    /// All others elsewhere.
    pub far: Vec<(HostId, SocketAddr)>,
}

/// Where news are to come from now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From a host before this one, which reads the store for it.
    Before(HostId, SocketAddr),
    /// From any host that knows more, since the store turns this one away.
    Helper(SocketAddr),
    /// From the store.
    Store,
}

/// How good the answer of another host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// How long ago it last heard of the store, by itself or through others.
    pub age: Duration,
    /// Whether it reads the store itself, and the store answers it.
    pub reads_store: bool,
}

impl Answer {
    /// Whether a host may go on with the answers of one before it.
    ///
    /// Only of one that reads the store itself. If hosts that ask others counted too, news would pass from host to host down the
    /// domain: the last of 23 heard of a leaving server 1.4 s after the first had. And a host that the store turns away would go on to be
    /// followed by others that it serves, with everything from another domain.
    pub fn is_worth_following(self) -> bool {
        self.reads_store && self.age <= LOST_AFTER
    }

    /// Whether it helps a host that the store turns away.
    pub fn helps(self) -> bool {
        self.age <= LOST_AFTER
    }
}

/// Which hosts are not asked for now.
#[derive(Debug, Default)]
pub struct Sources {
    passed_over: BTreeMap<HostId, Instant>,
    behind: BTreeMap<SocketAddr, Instant>,
}

impl Sources {
    /// Where news are to come from. `lost` tells that the store doesn't answer this host, `seeds` are asked while no host is known;
    /// `pick` takes one of several.
    pub fn choose(
        &mut self,
        now: Instant,
        neighbours: &Neighbours,
        lost: bool,
        seeds: &[SocketAddr],
        pick: impl Fn(&[SocketAddr]) -> Option<SocketAddr>,
    ) -> Source {
        self.passed_over.retain(|_, until| now < *until);
        self.behind.retain(|_, until| now < *until);
        let open = |(host, _): &&(HostId, SocketAddr)| !self.passed_over.contains_key(host);
        if let Some((host, addr)) = neighbours.before.iter().find(open) {
            return Source::Before(host.clone(), *addr);
        }
        let helper = if lost { self.helper(neighbours, seeds, pick) } else { None };
        helper.map_or(Source::Store, Source::Helper)
    }

    fn helper(
        &self,
        neighbours: &Neighbours,
        seeds: &[SocketAddr],
        pick: impl Fn(&[SocketAddr]) -> Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let addrs = |hosts: &[(HostId, SocketAddr)]| -> Vec<SocketAddr> {
            let open = hosts.iter().filter(|(_, addr)| !self.behind.contains_key(addr));
            open.map(|(_, addr)| *addr).collect()
        };
        let nobody = neighbours.near.is_empty() && neighbours.far.is_empty();
        let seeds = if nobody { seeds } else { &[] };
        pick(&addrs(&neighbours.near))
            .or_else(|| pick(&addrs(&neighbours.far)))
            .or_else(|| pick(seeds))
    }

    /// A host before this one is of no use now.
    pub fn pass_over(&mut self, host: HostId, now: Instant) {
        self.passed_over.insert(host, now + PASSED_OVER_FOR);
    }

    /// A host that was asked for help knew no more.
    pub fn was_behind(&mut self, addr: SocketAddr, now: Instant) {
        self.behind.insert(addr, now + BEHIND_FOR);
    }
}

//! Which requests are suspected of crashing servers, and which of them are refused.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::fingerprint::{Fingerprint, HeadDigest};

/// Servers that have to crash under a request before it is refused.
///
/// At most one of the requests that run on a server causes its crash. The others are on a second server that crashes now and then, and on a
/// third hardly ever without having succeeded in between.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Time that has to lie between the first and the last of them.
///
/// Servers that crash together share a cause such as power, a rack or a bad release, and a popular request runs on several of them. Within this
/// time it has succeeded elsewhere and most hosts have observed that.
pub const MIN_CRASH_SPAN: Duration = Duration::from_millis(700);

/// A request under which servers crashed since it was last cleared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Its callers.
    pub callers: BTreeSet<IpAddr>,
    /// The servers.
    pub servers: BTreeSet<ServerId>,
    /// When the first of them crashed.
    pub first_crash: Instant,
    /// When the last of them crashed.
    pub last_crash: Instant,
    /// Attempts that they were running.
    pub attempts: usize,
    /// When an attempt of any caller last succeeded.
    pub last_cleared: Option<Instant>,
}

impl Suspect {
    /// Whether this request of this caller is refused.
    ///
    /// Evidence is scoped to the caller, so one caller cannot get another caller's requests blocked. Evidence of several callers holds for all.
    pub fn is_quarantined_for(&self, caller: IpAddr) -> bool {
        self.is_quarantined() && self.applies_to(caller)
    }

    /// Whether it is refused, for some callers at least.
    pub fn is_quarantined(&self) -> bool {
        self.servers.len() >= QUARANTINE_THRESHOLD
            && self.last_crash.saturating_duration_since(self.first_crash) >= MIN_CRASH_SPAN
    }

    /// Whether the request is on probation: one more crash may be enough to refuse it, so attempts are rate-limited fleet-wide.
    pub fn is_on_probation(&self) -> bool {
        let is_near_threshold =
            self.attempts >= QUARANTINE_THRESHOLD || self.servers.len() + 1 >= QUARANTINE_THRESHOLD;
        let is_cleared = self.last_cleared.is_some_and(|cleared| cleared > self.last_crash);
        is_near_threshold && !is_cleared
    }

    fn applies_to(&self, caller: IpAddr) -> bool {
        self.callers.len() > 1 || self.callers.contains(&caller)
    }
}

/// All such requests, as one host knows them at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspects {
    pub(crate) by_request: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Whether there are none, so that no request needs to be compared with them.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Whether one of them has this head.
    pub fn contains_head(&self, head: HeadDigest) -> bool {
        let next = self.by_request.range(Fingerprint::min_with_head(head)..).next();
        next.is_some_and(|(request, _)| request.head() == head)
    }

    /// What is known of a request.
    pub fn get(&self, request: &Fingerprint) -> Option<&Suspect> {
        self.by_request.get(request)
    }

    /// Whether a request of this caller is refused.
    pub fn is_quarantined(&self, request: &Fingerprint, caller: IpAddr) -> bool {
        self.get(request).is_some_and(|suspect| suspect.is_quarantined_for(caller))
    }

    /// When the last server crashed under a request that is on probation for this caller.
    pub fn on_probation(&self, request: &Fingerprint, caller: IpAddr) -> Option<Instant> {
        let suspect = self.get(request).filter(|suspect| suspect.applies_to(caller))?;
        suspect.is_on_probation().then_some(suspect.last_crash)
    }

    /// Servers that crashed under a request of this caller.
    pub fn crashed_servers(&self, request: &Fingerprint, caller: IpAddr) -> usize {
        let suspect = self.get(request).filter(|suspect| suspect.applies_to(caller));
        suspect.map_or(0, |suspect| suspect.servers.len())
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.by_request.iter()
    }
}

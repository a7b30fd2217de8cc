//! Requests suspected of crashing servers, and which of them are on probation or quarantined.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::fingerprint::{Fingerprint, HeadDigest};

/// Number of servers that have to crash under a request before it is quarantined.
///
/// At most one of the requests that run on a server causes its crash. Now and then another one also
/// runs on a second server that crashes, but hardly ever on a third without a success in between.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Minimum time from the first to the last crash before a request is quarantined.
///
/// Servers that crash at the same time share a cause such as power, a rack or a bad release, and a
/// popular request runs on several of them. Within this time it succeeds elsewhere, and most hosts
/// receive that fact.
pub const MIN_CRASH_SPAN: Duration = Duration::from_millis(700);

/// A request under which servers crashed since it was last cleared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Callers of the attempts that crashed servers were running.
    pub callers: BTreeSet<IpAddr>,
    /// The servers that crashed.
    pub servers: BTreeSet<ServerId>,
    /// When the first of them crashed.
    pub first_crash: Instant,
    /// When the last of them crashed.
    pub last_crash: Instant,
    /// Number of attempts that they were running, counted by server and caller.
    pub attempts: usize,
    /// When an attempt of any caller last succeeded, or an operator last allowed the request.
    pub last_cleared: Option<Instant>,
}

impl Suspect {
    /// Whether the request is quarantined for this caller.
    ///
    /// Evidence is scoped to the caller, so that one caller cannot get another's requests blocked.
    /// Crashes under attempts of two or more callers apply to all callers.
    pub fn is_quarantined_for(&self, caller: IpAddr) -> bool {
        self.is_quarantined() && self.applies_to(caller)
    }

    /// Whether the request is quarantined, for some callers at least.
    pub fn is_quarantined(&self) -> bool {
        self.servers.len() >= QUARANTINE_THRESHOLD
            && self.last_crash.saturating_duration_since(self.first_crash) >= MIN_CRASH_SPAN
    }

    /// Whether the request is on probation: one more crash may be enough to quarantine it, so its
    /// attempts are rate-limited across the fleet.
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

/// Snapshot of the suspect requests that one host knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspects {
    pub(crate) by_request: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Whether no request is suspect, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Whether a suspect request has this head.
    pub fn contains_head(&self, head: HeadDigest) -> bool {
        let next = self.by_request.range(Fingerprint::min_with_head(head)..).next();
        next.is_some_and(|(request, _)| request.head() == head)
    }

    /// The evidence against a request, if it is suspect.
    pub fn get(&self, request: &Fingerprint) -> Option<&Suspect> {
        self.by_request.get(request)
    }

    /// Whether a request is quarantined for this caller.
    pub fn is_quarantined(&self, request: &Fingerprint, caller: IpAddr) -> bool {
        self.get(request).is_some_and(|suspect| suspect.is_quarantined_for(caller))
    }

    /// If a request is on probation for this caller, the time of its last crash.
    pub fn on_probation(&self, request: &Fingerprint, caller: IpAddr) -> Option<Instant> {
        let suspect = self.get(request).filter(|suspect| suspect.applies_to(caller))?;
        suspect.is_on_probation().then_some(suspect.last_crash)
    }

    /// Number of servers that crashed under a request, as far as that applies to this caller.
    pub fn crashed_servers(&self, request: &Fingerprint, caller: IpAddr) -> usize {
        let suspect = self.get(request).filter(|suspect| suspect.applies_to(caller));
        suspect.map_or(0, |suspect| suspect.servers.len())
    }

    /// All suspect requests.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.by_request.iter()
    }
}

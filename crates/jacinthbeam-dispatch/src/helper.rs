//! Choice of another host for the requests of a host that is partitioned from the backend servers.
//!
//! A host knows nothing of the reachability of the others. It sends to few of them, which differ from host to host, and leaves out
//! for a while those that declined or did not answer.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// Helpers that the requests of one host are spread over.
const PREFERRED_HELPERS: usize = 4;

/// Time for which a helper is left out after it declined a request or could not be reached.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Another host, as a candidate for a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Its share of a processor.
    pub processor: Millicores,
}

/// What this host knows of the helpers that it has used.
#[derive(Debug, Clone, Default)]
pub struct Helpers {
    in_flight: BTreeMap<HostId, u32>,
    unavailable_until: BTreeMap<HostId, Instant>,
}

impl Helpers {
    /// The helper for the next request, out of `candidates` in the order of their [`preference`]: of the first available ones the
    /// one with the fewest requests of this host for its processor. `None` if there is none.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        now: Instant,
    ) -> Option<&'a HostId> {
        let load = |candidate: &Candidate<'_>| {
            let in_flight = self.in_flight.get(candidate.host).copied().unwrap_or_default();
            f64::from(in_flight + 1) / f64::from(candidate.processor.0.max(1))
        };
        let available = candidates.filter(|candidate| self.is_available(candidate.host, now));
        let least = available.take(PREFERRED_HELPERS).min_by(|a, b| load(a).total_cmp(&load(b)));
        least.map(|candidate| candidate.host)
    }

    /// Records that a request is sent to a helper.
    pub fn begin(&mut self, helper: &HostId) {
        *self.in_flight.entry(helper.clone()).or_default() += 1;
    }

    /// Records that a request has ended at a helper.
    pub fn end(&mut self, helper: &HostId) {
        let Some(count) = self.in_flight.get_mut(helper) else { return };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(helper);
        }
    }

    /// Records that a helper declined a request or could not be reached.
    pub fn on_unavailable(&mut self, helper: &HostId, now: Instant) {
        self.unavailable_until.retain(|_, until| *until > now);
        self.unavailable_until.insert(helper.clone(), now + RETRY_INTERVAL);
    }

    fn is_available(&self, helper: &HostId, now: Instant) -> bool {
        self.unavailable_until.get(helper).is_none_or(|until| now >= *until)
    }
}

/// Sort key of a helper in the order of the host `me`: first those of its own failure domain, and otherwise an order that differs
/// from host to host, so that helpers are shared evenly.
pub fn preference(me: &HostId, helper: &HostId, near: bool) -> (bool, KeyHash) {
    (!near, KeyHash::of(format!("{me} {helper}").as_bytes()))
}

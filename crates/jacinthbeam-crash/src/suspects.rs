//! Which requests were running on servers when these ended, and which of them are sent to no server any more.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

use crate::fingerprint::{Fingerprint, Head};

/// Servers that have to end under a request before it is refused.
///
/// All requests at a server run when it ends, and one of them is the cause at the most. Under a request that is not, a second server ends
/// now and then where many do at a time; a third, without an answer in between, hardly ever.
pub const PROOF: usize = 3;

/// Time that has to lie between the first and the last of them.
///
/// Servers that end together have one cause, power or a rack or a release that fails, and a request that many callers send alike runs on
/// several of them. It is answered by the others, and hosts have mostly heard of that, within this time. A request that is the cause is sent on
/// as often as it comes in this time, and no longer.
pub const SPAN: Duration = Duration::from_millis(700);

/// A request under which servers have ended since it was last cleared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Its callers.
    pub callers: BTreeSet<IpAddr>,
    /// The servers.
    pub servers: BTreeSet<ServerId>,
    /// When the first of them ended.
    pub first: Instant,
    /// When the last of them ended.
    pub last: Instant,
    /// Attempts that they were running.
    pub attempts: usize,
    /// When an attempt of any caller last ran to a good end.
    pub served: Option<Instant>,
}

impl Suspect {
    /// Whether this request of this caller is sent to no server any more.
    ///
    /// What one caller's attempts have shown holds for that caller alone, so that nobody can have the request of another refused. What
    /// several callers' have shown is a fault of the request, whoever sends it.
    pub fn is_refused(&self, caller: IpAddr) -> bool {
        self.is_proven() && self.is_shown_for(caller)
    }

    /// Whether it is sent to no server any more, for some callers at least.
    pub fn is_proven(&self) -> bool {
        self.servers.len() >= PROOF && self.last.saturating_duration_since(self.first) >= SPAN
    }

    /// Whether only a few attempts of the whole fleet may be sent: a crash away from being refused, many attempts would reach one server
    /// together, before any host observes what becomes of them.
    pub fn is_on_probation(&self) -> bool {
        let is_doubted = self.attempts >= PROOF || self.servers.len() + 1 >= PROOF;
        let is_answered = self.served.is_some_and(|served| served > self.last);
        is_doubted && !is_answered
    }

    fn is_shown_for(&self, caller: IpAddr) -> bool {
        self.callers.len() > 1 || self.callers.contains(&caller)
    }
}

/// All such requests, as one host knows them at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspects {
    pub(crate) of: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Whether there are none, so that no request needs to be compared with them.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
    }

    /// Whether one of them has this head.
    pub fn have_head(&self, head: Head) -> bool {
        let next = self.of.range(Fingerprint::first_of(head)..).next();
        next.is_some_and(|(of, _)| of.head() == head)
    }

    /// What is known of a request.
    pub fn get(&self, of: &Fingerprint) -> Option<&Suspect> {
        self.of.get(of)
    }

    /// Whether a request of this caller is sent to no server any more.
    pub fn refuse(&self, of: &Fingerprint, caller: IpAddr) -> bool {
        self.get(of).is_some_and(|suspect| suspect.is_refused(caller))
    }

    /// When the last server crashed under a request that is on probation for this caller.
    pub fn on_probation(&self, of: &Fingerprint, caller: IpAddr) -> Option<Instant> {
        let suspect = self.get(of).filter(|suspect| suspect.is_shown_for(caller))?;
        suspect.is_on_probation().then_some(suspect.last)
    }

    /// Servers that have ended under a request of this caller.
    pub fn ended_under(&self, of: &Fingerprint, caller: IpAddr) -> usize {
        let suspect = self.get(of).filter(|suspect| suspect.is_shown_for(caller));
        suspect.map_or(0, |suspect| suspect.servers.len())
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        self.of.iter()
    }
}

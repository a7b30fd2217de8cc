//! Which hosts take the duty to grant, where hosts differ. No I/O.
//!
//! The group shares duties out evenly and knows nothing of the hosts. A host that grants the keys of some hundred servers makes a thousand
//! calls a second; with a tenth of a core it could make some 900 and do nothing else (1,800 were seen of a host with a fifth), its right to grant lapses in the middle of its rounds, and it
//! has no time for what the store says. Hosts with less processor therefore take part only when those with more are silent.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// Hosts that take duties at the least, if there are so many: some may be away, and a duty must find another.
const FEWEST: usize = 6;

/// Failure domains that these hosts are in at the least, if there are so many, so that the loss of one leaves somebody.
const FEWEST_DOMAINS: usize = 2;

/// Silence of all granting hosts after which any host takes part. A duty changes hands within some 3 s, and a failure domain that is cut off
/// from a granting host for less than this takes none from it.
const STAND_IN_AFTER: Duration = Duration::from_secs(8);

/// A process that knows few hosts yet waits for so long before it counts them: all hosts that start together have said where they are.
const MEET_WITHIN: Duration = Duration::from_secs(1);

/// The part of one life of a process.
#[derive(Debug, Clone, Copy)]
pub struct Standby {
    begun: Instant,
    /// The last word of another host that grants.
    word: Option<Instant>,
}

impl Standby {
    /// A process that starts now.
    pub fn new(now: Instant) -> Self {
        Self { begun: now, word: None }
    }

    /// Another host has said that it grants.
    pub fn on_grantor_heartbeat(&mut self, now: Instant) {
        self.word = Some(now);
    }

    /// Whether a host with so much processor leaves duties to others. `fleet` are all hosts.
    pub fn stands_by<'a>(
        &self,
        now: Instant,
        own: Millicores,
        fleet: impl Iterator<Item = (&'a FailureDomain, Millicores)>,
    ) -> bool {
        let fleet: Vec<_> = fleet.collect();
        if fleet.len() < FEWEST && now < self.begun + MEET_WITHIN {
            return true;
        }
        let silent_since = self.word.map_or(self.begun, |at| at.max(self.begun));
        own < enough(fleet) && now < silent_since + STAND_IN_AFTER
    }
}

/// The processor of a host that takes duties, at the least.
fn enough(mut fleet: Vec<(&FailureDomain, Millicores)>) -> Millicores {
    fleet.sort_by_key(|(_, processor)| std::cmp::Reverse(*processor));
    let mut domains = BTreeSet::new();
    for (n, (domain, processor)) in fleet.iter().enumerate() {
        domains.insert(*domain);
        if n + 1 >= FEWEST && domains.len() >= FEWEST_DOMAINS {
            return *processor;
        }
    }
    fleet.last().map_or(Millicores::default(), |(_, processor)| *processor)
}

//! The short list of relays in the store: the hosts that a host without data asks first. No I/O.
//!
//! Hosts that start together know nothing of each other. If each wrote its entry and read those of all others, the appends to one
//! partition and the bytes read would grow with the fleet, and with its square. So a few hosts of each failure domain list themselves as
//! relays, and a starting host reads only their list. The entries of all hosts reach the store in batches, written by the hosts that
//! others follow.
//!
//! Hosts take turns: those with more processor come first, and within a class the number of hosts whose turn has come doubles every
//! [`DOUBLING_TIME`]. A host that finds enough relays at its turn doesn't list itself. The number of relays thus depends on how long a new
//! entry takes to be visible, and not on the number of hosts.

use std::time::Duration;

use jacinthbeam_store::keyed::Changes;
use jacinthbeam_types::prelude::*;

use super::{HostEntry, source::POLLED_HOSTS};

/// Number of other relays in its failure domain with which a host doesn't become a relay itself.
pub const MIN_RELAYS: usize = POLLED_HOSTS;

/// Pause between listing itself and reading the list again, in which relays that list themselves at the same time become visible.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Delay of the first turn of a host with next to no processor, against a host with a core.
const MAX_SMALL_HOST_DELAY: Duration = Duration::from_millis(1000);

/// Time in which the number of hosts whose turn has come doubles: a write and a read of the store.
pub const DOUBLING_TIME: Duration = Duration::from_millis(50);

/// Number of hosts up to which the turns begin with a single host.
const MAX_HOSTS: f64 = 4096.0;

/// How long a host waits for its turn, given its processor share and a random number from 0 to 1.
pub fn turn(processor: Millicores, random: f64) -> Duration {
    let share = f64::from(processor.0) / f64::from(Millicores::CORE.0);
    let small = MAX_SMALL_HOST_DELAY.mul_f64(1.0 - share.min(1.0));
    let doublings = (random * MAX_HOSTS).max(1.0).log2();
    small + DOUBLING_TIME.mul_f64(doublings)
}

/// Whether the list contains exactly this entry of a host.
pub fn is_listed(me: &HostId, own: &HostEntry, listed: &Changes) -> bool {
    let own = own.to_bytes();
    listed.items.iter().any(|item| item.key == me.as_str() && item.value == own)
}

/// Whether the listed relays suffice for this host: it is one of them, or there are enough others in its failure domain.
pub fn suffice(me: &HostId, own: &HostEntry, relays: &Changes) -> bool {
    let others = relays.items.iter().filter(|item| item.key != me.as_str());
    let near = others.filter(|item| {
        HostEntry::from_bytes(&item.value).is_ok_and(|entry| entry.domain == own.domain)
    });
    is_listed(me, own, relays) || near.count() >= MIN_RELAYS
}

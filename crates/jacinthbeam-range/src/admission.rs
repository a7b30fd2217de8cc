//! How much of what is asked of an owner it should be sent, so that what it is sent is answered in time.
//!
//! The pattern it answers: for some seconds an owner is asked for more than it can work off. It takes what comes until its
//! queue is full, and from then on every request waits for the whole queue: with three slots, twelve places and 0.22 s of
//! work, 0.9 s. As many are served as before, but all too late to be worth much. A host alone can't see it coming, since it
//! sends a server less than one request a second.
//!
//! The host that grants the keys hears from all others what is asked of each owner and how many requests are there. It lets in
//! what the owner works off, and besides what brings the number of waiting requests to the one that the objective allows. The
//! surplus is refused at once, the least urgent first, and may come back when there is room.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

/// Time within which a number of waiting requests is brought to the wanted one. Shorter than what is known of it is old (a
/// report and a message, some 0.3 s) would overshoot.
const SETTLE: Duration = Duration::from_millis(800);

/// Part of the objective that a request may spend at the owner. The rest is for the way, and for the spread of the work.
const USABLE: f64 = 0.8;

/// An owner with no more requests than this multiple of its slots has nobody waiting to speak of.
const BUSY: f64 = 1.15;

/// Which requests an owner is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Gate {
    /// Requests of this rank are let in by their share, more urgent ones (of a lower rank) all, others none.
    pub rank: u32,
    /// Part of them that is let in, from 0 to 1.
    pub share: f64,
}

impl Gate {
    /// Whether a request of this rank is let in. `random` is a number from 0 to 1.
    pub fn admits(self, rank: u32, random: f64) -> bool {
        match rank.cmp(&self.rank) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => random < self.share,
            std::cmp::Ordering::Greater => false,
        }
    }
}

/// What is known of an owner at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnerLoad {
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Time that a request takes in a slot.
    pub service_time: Duration,
    /// Requests that are there, waiting ones included.
    pub in_flight: f64,
    /// Requests a second that are asked of it, by rank.
    pub arrival_rates: BTreeMap<u32, f64>,
}

/// What an owner should be sent, if that is less than what is asked of it.
pub fn gate(load: &OwnerLoad, objective: Duration) -> Option<Gate> {
    let slots = f64::from(load.slots);
    if load.in_flight <= slots * BUSY {
        return None;
    }
    let work = load.service_time.as_secs_f64().max(0.001);
    let wanted = (slots * USABLE * objective.as_secs_f64() / work).max(slots);
    let mut room = slots / work + (wanted - load.in_flight) / SETTLE.as_secs_f64();
    for (rank, rate) in &load.arrival_rates {
        if *rate > room {
            return Some(Gate { rank: *rank, share: (room / rate).max(0.0) });
        }
        room -= rate;
    }
    None
}

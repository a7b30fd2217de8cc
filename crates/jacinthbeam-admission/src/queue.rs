//! Requests that wait at a host for capacity of one service.

use std::{
    collections::{BTreeMap, btree_map},
    net::IpAddr,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::Bytes;

/// Part of a host's memory that waiting requests may take.
const MEMORY_PART: u64 = 16;

/// Part of that which the requests of one caller address may take.
const CALLER_PART: u64 = 4;

/// Maximum number of waiting requests of a host.
const MAX_ENTRIES: usize = 4096;

/// Part of the objective for which a request may wait at least, however long its service takes.
const MIN_WAIT_PART: u32 = 8;

/// Service times that are left for a request that starts at its latest start.
const SERVICE_TIMES_LEFT: f64 = 1.5;

/// The latest time at which a request that was received at `received` can start to be answered within its objective.
pub fn latest_start(
    received: Instant,
    objective: Duration,
    service_time: Duration,
    deadline: Instant,
) -> Instant {
    let wait = objective.saturating_sub(service_time.mul_f64(SERVICE_TIMES_LEFT));
    (received + wait.max(objective / MIN_WAIT_PART)).min(deadline)
}

/// Bounds the memory of the waiting requests of a host, for all services together.
#[derive(Debug)]
pub struct WaitMemory {
    limit: u64,
    used: u64,
    entries: usize,
    callers: BTreeMap<IpAddr, u64>,
}

impl WaitMemory {
    /// The bounds for a host with this memory.
    pub fn new(of_host: Bytes) -> Self {
        Self { limit: of_host.0 / MEMORY_PART, used: 0, entries: 0, callers: BTreeMap::new() }
    }

    /// Reserves memory for a request. Returns `false` if a bound does not allow that.
    fn reserve(&mut self, caller: IpAddr, bytes: u64) -> bool {
        let of_caller = self.callers.get(&caller).copied().unwrap_or_default();
        let fits = self.entries < MAX_ENTRIES
            && self.used.saturating_add(bytes) <= self.limit
            && of_caller.saturating_add(bytes) <= self.limit / CALLER_PART;
        if fits {
            self.used += bytes;
            self.entries += 1;
            *self.callers.entry(caller).or_default() += bytes;
        }
        fits
    }

    fn release(&mut self, caller: IpAddr, bytes: u64) {
        self.used -= bytes;
        self.entries -= 1;
        if let btree_map::Entry::Occupied(mut held) = self.callers.entry(caller) {
            *held.get_mut() -= bytes;
            if *held.get() == 0 {
                held.remove();
            }
        }
    }

    /// Bytes of all waiting requests.
    pub fn used(&self) -> Bytes {
        Bytes(self.used)
    }

    /// Bytes of the waiting requests of one caller address.
    pub fn used_by(&self, caller: IpAddr) -> Bytes {
        Bytes(self.callers.get(&caller).copied().unwrap_or_default())
    }

    /// Number of waiting requests.
    pub fn entries(&self) -> usize {
        self.entries
    }
}

/// Identifies a waiting request. Tickets are ordered as the requests start: by rank, then by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    rank: u32,
    deadline: Instant,
    number: u64,
}

impl Ticket {
    /// Rank of the request.
    pub fn rank(self) -> u32 {
        self.rank
    }
}

/// A request that would wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Its rank.
    pub rank: u32,
    /// When its response is due.
    pub deadline: Instant,
    /// The latest time at which it may start.
    pub latest_start: Instant,
    /// Size of its head and body.
    pub bytes: Bytes,
    /// Address of its caller.
    pub caller: IpAddr,
}

/// The waiting requests of one service.
#[derive(Debug, Default)]
pub struct WaitQueue {
    /// By rank, then by deadline and number. A rank is listed once a request of it has waited.
    ranks: BTreeMap<u32, BTreeMap<(Instant, u64), Entry>>,
    last_number: u64,
}

impl WaitQueue {
    /// Adds a request. `None` if a bound of the memory does not allow that.
    pub fn add(&mut self, entry: Entry, memory: &mut WaitMemory) -> Option<Ticket> {
        if !memory.reserve(entry.caller, entry.bytes.0) {
            return None;
        }
        self.last_number += 1;
        let (rank, deadline, number) = (entry.rank, entry.deadline, self.last_number);
        self.ranks.entry(rank).or_default().insert((deadline, number), entry);
        Some(Ticket { rank, deadline, number })
    }

    /// Removes a request, if it still waits.
    pub fn remove(&mut self, ticket: Ticket, memory: &mut WaitMemory) -> Option<Entry> {
        let of_rank = self.ranks.get_mut(&ticket.rank)?;
        let entry = of_rank.remove(&(ticket.deadline, ticket.number))?;
        memory.release(entry.caller, entry.bytes.0);
        Some(entry)
    }

    /// A waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&Entry> {
        self.ranks.get(&ticket.rank)?.get(&(ticket.deadline, ticket.number))
    }

    /// The request of a rank that starts next.
    pub fn first(&self, rank: u32) -> Option<Ticket> {
        let ((deadline, number), _) = self.ranks.get(&rank)?.first_key_value()?;
        Some(Ticket { rank, deadline: *deadline, number: *number })
    }

    /// The request of each rank that starts next, the most urgent rank first.
    pub fn heads(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.ranks.keys().filter_map(|rank| self.first(*rank))
    }

    /// Number of requests of the same rank that start before a waiting one.
    pub fn ahead(&self, ticket: Ticket) -> u32 {
        let of_rank = self.ranks.get(&ticket.rank);
        let place = (ticket.deadline, ticket.number);
        of_rank.map_or(0, |of_rank| of_rank.range(..place).count() as u32)
    }

    /// Number of requests of the rank that start before one with this deadline that arrives now.
    pub fn ahead_of(&self, rank: u32, deadline: Instant) -> u32 {
        let of_rank = self.ranks.get(&rank);
        of_rank.map_or(0, |of_rank| of_rank.range(..=(deadline, u64::MAX)).count() as u32)
    }

    /// Number of waiting requests of a rank.
    pub fn waiting(&self, rank: u32) -> u32 {
        self.ranks.get(&rank).map_or(0, |of_rank| of_rank.len() as u32)
    }

    /// Number of waiting requests by rank. A rank is listed once a request of it has waited.
    pub fn waiting_by_rank(&self) -> BTreeMap<u32, u32> {
        self.ranks.iter().map(|(rank, of_rank)| (*rank, of_rank.len() as u32)).collect()
    }
}

//! Retries that this host borrows from the retry budgets of other hosts.
//!
//! The rejections of a service are unevenly distributed over the hosts for a while, so one host has used up its share while others
//! need none of theirs. A host whose share is used up asks one other host, chosen at random. The lender counts what it gives as
//! spent ([`RetryBudget::lend`](crate::RetryBudget::lend)), whether or not it is ever used. So a lost message loses credit, and
//! no failure can create it, as long as the borrower accepts each grant once and uses it in time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long after its request the borrower may use what it was granted. Shorter than the period for which the lender counts the
/// loan, [`LOAN_PERIOD`](crate::budget::LOAN_PERIOD).
pub const CREDIT_PERIOD: Duration = Duration::from_millis(500);

/// Shortest time between two requests of a host for one service: four in a second.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// The credit of this host for one service.
#[derive(Debug)]
pub struct Borrower {
    next_id: u64,
    open: Option<Request>,
    /// When the last request was opened.
    last_request: Option<Instant>,
    /// Unused credit in the order in which it ends.
    credits: VecDeque<Credit>,
}

/// A request that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct Request {
    id: u64,
    wanted: u32,
    end: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Credit {
    retries: u32,
    end: Instant,
}

impl Borrower {
    /// A borrower without credit. Its requests are numbered from `first_id`, which has to be drawn at random: a late grant to an
    /// earlier process of the host must not match a request of this one.
    pub fn new(first_id: u64) -> Self {
        Self { next_id: first_id, open: None, last_request: None, credits: VecDeque::new() }
    }

    /// Opens a request for `wanted` retries and returns its id; `None` if another one is open, or the last one is too recent.
    pub fn request(&mut self, wanted: u32, now: Instant) -> Option<u64> {
        let is_open = self.open.is_some_and(|open| now < open.end);
        let is_recent = self.last_request.is_some_and(|at| now < at + REQUEST_INTERVAL);
        if is_open || is_recent {
            return None;
        }
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        self.open = Some(Request { id, wanted, end: now + CREDIT_PERIOD });
        self.last_request = Some(now);
        Some(id)
    }

    /// Accepts the answer to a request. Returns the retries that may be used because of it: 0 if the request is not open, as for
    /// a duplicate, or if its time is over.
    pub fn on_grant(&mut self, id: u64, granted: u32, now: Instant) -> u32 {
        let Some(Request { wanted, end, .. }) = self.open.take_if(|open| open.id == id) else {
            return 0;
        };
        let retries = granted.min(wanted);
        if retries == 0 || now >= end {
            return 0;
        }
        self.credits.push_back(Credit { retries, end });
        retries
    }

    /// Unused retries.
    pub fn left(&self, now: Instant) -> u32 {
        let valid = self.credits.iter().filter(|credit| now < credit.end);
        valid.map(|credit| credit.retries).sum()
    }

    /// Uses one retry. Returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let mut valid = self.credits.iter_mut().filter(|credit| now < credit.end);
        let Some(credit) = valid.find(|credit| credit.retries > 0) else { return false };
        credit.retries -= 1;
        true
    }

    /// Drops credit whose time is over. Returns the number of retries that were not used.
    pub fn expire(&mut self, now: Instant) -> u32 {
        let mut lapsed = 0;
        while let Some(credit) = self.credits.pop_front_if(|credit| now >= credit.end) {
            lapsed += credit.retries;
        }
        lapsed
    }
}

//! The retry budgets of this host's services, with the credit that is exchanged with other hosts.
//!
//! The traffic thread has the budgets, and the control thread the datagrams to and from other hosts.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::{
    RetryBudget,
    budget::{MAX_LOAN, Options},
    credit::Borrower,
    retry::{Budget, Decision, Why},
};
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc;

use super::metrics::Counters;

/// A message of the traffic thread to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outgoing {
    /// A request for credit, to any other host.
    Request {
        /// Identifies the request at this host.
        id: u64,
        /// The service.
        service: ServiceName,
        /// Retries that this host could use.
        wanted: u32,
    },
    /// The answer to a request.
    Grant {
        /// Address of the requesting host.
        to: SocketAddr,
        /// Identifies the request at the requesting host.
        id: u64,
        /// The service.
        service: ServiceName,
        /// Number of retries; 0 if the request is declined.
        granted: u32,
    },
}

/// A message of another host to the traffic thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming {
    /// A request for credit.
    Request {
        /// Address of the requesting host.
        from: SocketAddr,
        /// Identifies the request at the requesting host.
        id: u64,
        /// The service.
        service: ServiceName,
        /// Retries that the requesting host could use.
        wanted: u32,
    },
    /// The answer to a request of this host.
    Grant {
        /// Identifies the request.
        id: u64,
        /// The service.
        service: ServiceName,
        /// Number of retries.
        granted: u32,
    },
}

/// Messages of other hosts that may wait for the traffic thread. Further ones are dropped like lost datagrams.
pub const MAX_INCOMING: usize = 256;

/// A host that wanted a retry of its own within this time lends nothing.
///
/// When all servers of a service reject requests, every host needs its share. Loans then moved it to hosts that could not use it in time:
/// of 14,000 rejected requests, 3,000 were retried where the budget allowed nearly twice as many.
const LENDER_IDLE_TIME: Duration = Duration::from_secs(1);

/// Smallest share of a service's requests from which a rank counts for [`RetryBudgets::has_several_ranks`]. Test routes get a hundredth.
const MIN_RANK_SHARE: f64 = 0.1;

/// The retry budgets of all services, on the traffic thread.
#[derive(Debug)]
pub struct RetryBudgets {
    options: Options,
    counters: Arc<Counters>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    services: RefCell<BTreeMap<ServiceName, Account>>,
}

/// The retries of one service: this host's share of the budget, and what it has borrowed.
#[derive(Debug)]
struct Account {
    budget: RetryBudget,
    borrower: Borrower,
    /// Retries that were refused because no budget was left, since the last request for credit.
    unmet: u32,
    /// When this host last wanted a retry.
    last_wanted: Option<Instant>,
    /// Requests of callers by rank, decaying with the window of the budget, up to `decayed`.
    by_rank: BTreeMap<u32, f64>,
    decayed: Instant,
}

impl Account {
    /// Counts a request of a caller.
    fn on_request(&mut self, rank: u32, window: Duration, now: Instant) {
        self.budget.on_request(now);
        let elapsed = now.saturating_duration_since(self.decayed).as_secs_f64();
        let kept = (-elapsed / window.as_secs_f64().max(f64::MIN_POSITIVE)).exp();
        self.by_rank.values_mut().for_each(|count| *count *= kept);
        *self.by_rank.entry(rank).or_default() += 1.0;
        self.decayed = now;
    }

    /// The budget as seen by a request of a rank.
    fn seen_by(&self, rank: u32, ratio: f64, now: Instant) -> Budget {
        let all: f64 = self.by_rank.values().sum();
        let more_urgent: f64 = self.by_rank.range(..rank).map(|(_, count)| count).sum();
        let allowed = all * ratio;
        Budget {
            left: self.left(now),
            size: self.budget.size(now),
            more_urgent: if allowed > 0.0 { more_urgent / allowed } else { 0.0 },
        }
    }

    /// Records that a retry was wanted, and whether there was none left.
    fn on_wanted(&mut self, decision: Decision, now: Instant) {
        match decision {
            Decision::Refuse(Why::Budget) => self.unmet = self.unmet.saturating_add(1),
            Decision::Retry | Decision::Refuse(Why::Reserve) => {}
            Decision::Refuse(_) => return,
        }
        self.last_wanted = Some(now);
    }

    /// Lends retries to another host; returns their number.
    fn lend(&mut self, wanted: u32, hosts: u32, now: Instant) -> u32 {
        // It may have been set long ago: only requests of callers set it otherwise.
        self.budget.set_hosts(hosts);
        let is_idle = |at: Instant| now.saturating_duration_since(at) >= LENDER_IDLE_TIME;
        match self.last_wanted.is_none_or(is_idle) {
            true => self.budget.lend(wanted, now),
            false => 0,
        }
    }

    /// Retries that are left, borrowed ones included.
    fn left(&self, now: Instant) -> f64 {
        self.budget.left(now).floor().max(0.0) + f64::from(self.borrower.left(now))
    }
}

impl RetryBudgets {
    /// Unused budgets. Messages to other hosts are sent to `outgoing`.
    pub fn new(
        options: Options,
        counters: Arc<Counters>,
        outgoing: mpsc::UnboundedSender<Outgoing>,
    ) -> Self {
        Self { options, counters, outgoing, services: RefCell::default() }
    }

    /// Counts a request of a caller for a service.
    pub fn on_request(&self, service: &ServiceName, rank: u32, hosts: u32, now: Instant) {
        let window = self.options.window;
        self.with_account(service, hosts, now, |account| account.on_request(rank, window, now));
    }

    /// Whether the requests for a service are of several ranks at present.
    pub fn has_several_ranks(&self, service: &ServiceName) -> bool {
        let services = self.services.borrow();
        let Some(account) = services.get(service) else { return false };
        let all: f64 = account.by_rank.values().sum();
        account.by_rank.values().filter(|count| **count >= all * MIN_RANK_SHARE).count() > 1
    }

    /// Takes one retry from this host's share. Returns whether there was one left.
    pub fn take(&self, service: &ServiceName, hosts: u32, now: Instant) -> bool {
        let (allowed, left) = self.with_account(service, hosts, now, |account| {
            (account.budget.take(now), account.budget.left(now))
        });
        self.counters.on_repeat(service, (!allowed).then_some("budget"), left);
        allowed
    }

    /// Decides about a retry by the number of retries that are left, borrowed ones included, and the size of this host's share.
    /// Requests credit if there are none left.
    pub fn decide(
        &self,
        service: &ServiceName,
        rank: u32,
        hosts: u32,
        now: Instant,
        decide: impl FnOnce(Budget) -> Decision,
    ) -> Decision {
        let (decision, left) = self.with_account(service, hosts, now, |account| {
            let budget = account.seen_by(rank, self.options.ratio, now);
            let decision = decide(budget);
            account.on_wanted(decision, now);
            if decision == Decision::Refuse(Why::Budget) {
                self.request_credit(service, account, now);
            }
            (decision, budget.left)
        });
        if let Decision::Refuse(why) = decision {
            self.counters.on_repeat(service, Some(why.as_str()), left);
        }
        decision
    }

    /// Like [`Self::decide`], and takes the retry if it is allowed. Borrowed ones are used first, since they end soon.
    pub fn spend(
        &self,
        service: &ServiceName,
        rank: u32,
        hosts: u32,
        now: Instant,
        decide: impl FnOnce(Budget) -> Decision,
    ) -> Decision {
        let decision = self.decide(service, rank, hosts, now, decide);
        if decision != Decision::Retry {
            return decision;
        }
        let (taken, left) = self.with_account(service, hosts, now, |account| {
            let is_borrowed = account.borrower.take(now);
            self.counters.on_credits("used", u32::from(is_borrowed));
            let taken = is_borrowed || account.budget.take(now);
            (taken, account.left(now))
        });
        let decision = if taken { Decision::Retry } else { Decision::Refuse(Why::Budget) };
        self.counters.on_repeat(service, (!taken).then_some(Why::Budget.as_str()), left);
        decision
    }

    /// Requests credit for the retries that were refused without it, unless there is an open request or a recent one.
    fn request_credit(&self, service: &ServiceName, account: &mut Account, now: Instant) {
        let wanted = account.unmet.min(MAX_LOAN);
        if let Some(id) = account.borrower.request(wanted, now) {
            account.unmet = 0;
            self.send(Outgoing::Request { id, service: service.clone(), wanted });
        }
    }

    /// Handles a message of another host, given the number of hosts that the burst is divided among.
    pub fn on_message(&self, message: Incoming, hosts: u32, now: Instant) {
        let mut services = self.services.borrow_mut();
        match message {
            Incoming::Request { from, id, service, wanted } => {
                let account = services.get_mut(&service);
                let granted = account.map_or(0, |account| account.lend(wanted, hosts, now));
                match granted {
                    0 => self.counters.on_credits("declined", 1),
                    lent => self.counters.on_credits("lent", lent),
                }
                self.send(Outgoing::Grant { to: from, id, service, granted });
            }
            Incoming::Grant { id, service, granted } => {
                let Some(account) = services.get_mut(&service) else { return };
                let borrowed = account.borrower.on_grant(id, granted, now);
                self.counters.on_credits("borrowed", borrowed);
            }
        }
    }

    /// Drops borrowed retries whose time is over.
    pub fn expire(&self, now: Instant) {
        for account in self.services.borrow_mut().values_mut() {
            self.counters.on_credits("lapsed", account.borrower.expire(now));
        }
    }

    fn send(&self, message: Outgoing) {
        if self.outgoing.send(message).is_err() {
            tracing::debug!(part = "retry", event = "not-sent");
        }
    }

    fn with_account<R>(
        &self,
        service: &ServiceName,
        hosts: u32,
        now: Instant,
        f: impl FnOnce(&mut Account) -> R,
    ) -> R {
        let mut services = self.services.borrow_mut();
        // The ids begin at a random number, so that a grant to an earlier process of this host matches no request of this one.
        let account = services.entry(service.clone()).or_insert_with(|| Account {
            budget: RetryBudget::new(self.options, hosts, now),
            borrower: Borrower::new(fastrand::u64(..)),
            unmet: 0,
            last_wanted: None,
            by_rank: BTreeMap::new(),
            decayed: now,
        });
        account.budget.set_hosts(hosts);
        f(account)
    }
}

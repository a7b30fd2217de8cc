//! Retry budgets of hosts that lend retries to each other.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::{
    budget::{MAX_LOAN, Options},
    credit::{CREDIT_PERIOD, REQUEST_INTERVAL},
    retry::{Budget, Decision, Why},
};
use jacinthbeam_host::process::{
    credits::{Incoming, Outgoing, RetryBudgets},
    metrics::Counters,
};
use jacinthbeam_types::prelude::*;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

const OPTIONS: Options = Options { ratio: 0.0, burst: 40.0, window: Duration::from_secs(10) };

const RANK: u32 = 1;

const BORROWER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7);

struct Host {
    budgets: RetryBudgets,
    sent: UnboundedReceiver<Outgoing>,
}

impl Host {
    fn new() -> Self {
        Self::with(OPTIONS)
    }

    fn with(options: Options) -> Self {
        let (tx, sent) = unbounded_channel();
        Self { budgets: RetryBudgets::new(options, Counters::new(), tx), sent }
    }

    /// Spends as many retries as it can; returns their number.
    fn spend_all(&self, now: Instant) -> usize {
        let spend = |budget: Budget| match budget.left >= 1.0 {
            true => Decision::Retry,
            false => Decision::Refuse(Why::Budget),
        };
        let is_sent =
            |_: &i32| self.budgets.spend(&service(), RANK, 2, now, spend) == Decision::Retry;
        (0..100).take_while(is_sent).count()
    }

    /// The request that it has sent, and the retries that it wants.
    fn requested(&mut self) -> Option<(u64, u32)> {
        match self.sent.try_recv() {
            Ok(Outgoing::Request { id, wanted, .. }) => Some((id, wanted)),
            _ => None,
        }
    }

    /// Lets it answer a request; returns the number of retries that it grants.
    fn lend(&mut self, id: u64, wanted: u32, now: Instant) -> u32 {
        self.lend_among(2, id, wanted, now)
    }

    /// The same in a fleet of `hosts`.
    fn lend_among(&mut self, hosts: u32, id: u64, wanted: u32, now: Instant) -> u32 {
        let request = Incoming::Request { from: BORROWER, id, service: service(), wanted };
        self.budgets.on_message(request, hosts, now);
        match self.sent.try_recv() {
            Ok(Outgoing::Grant { to: BORROWER, id: answered, granted, .. }) if answered == id => {
                granted
            }
            other => panic!("{other:?}"),
        }
    }
}

fn service() -> ServiceName {
    "tilecast".parse().unwrap()
}

fn grant(id: u64, granted: u32) -> Incoming {
    Incoming::Grant { id, service: service(), granted }
}

/// Guards against a host that refuses retries while another one has some left, and against a grant that is used twice because
/// its datagram arrives twice.
#[test]
fn a_host_uses_each_grant_once() {
    let (now, mut borrower, mut lender) = (Instant::now(), Host::new(), Host::new());
    lender.budgets.on_request(&service(), RANK, 2, now);
    assert_eq!(borrower.spend_all(now), 10);
    let (gone, _) = borrower.requested().unwrap();
    // Refused while the first request is open.
    (0..5).for_each(|_| assert_eq!(borrower.spend_all(now), 0));
    borrower.budgets.on_message(grant(gone, 0), 2, now);
    let now = now + REQUEST_INTERVAL;
    assert_eq!(borrower.spend_all(now), 0);
    let (id, wanted) = borrower.requested().unwrap();
    assert_eq!(wanted, 6);
    let granted = lender.lend(id, wanted, now);
    assert_eq!(granted, 5);
    (0..2).for_each(|_| borrower.budgets.on_message(grant(id, granted), 2, now));
    assert_eq!((borrower.spend_all(now), lender.spend_all(now)), (5, 5));
}

/// Guards against loans between hosts that all need their share: what is lent and not used in time is lost to both.
#[test]
fn a_host_that_retries_itself_lends_nothing() {
    let (now, mut lender) = (Instant::now(), Host::new());
    let retry = |_: Budget| Decision::Retry;
    assert_eq!(lender.budgets.spend(&service(), RANK, 2, now, retry), Decision::Retry);
    assert_eq!(lender.lend(1, MAX_LOAN, now + Duration::from_millis(900)), 0);
    assert_eq!(lender.lend(2, MAX_LOAN, now + Duration::from_millis(1000)), 4);
}

/// Guards against requests for credit that could not be used: the server's queue is full, or the budget is not used up.
#[test]
fn a_host_requests_only_what_it_lacked() {
    let (now, mut host) = (Instant::now(), Host::new());
    for why in [Why::Queue, Why::Gate, Why::Reserve] {
        host.budgets.spend(&service(), RANK, 2, now, |_| Decision::Refuse(why));
        assert_eq!(host.requested(), None);
    }
    host.budgets.spend(&service(), RANK, 2, now, |_| Decision::Refuse(Why::Budget));
    assert_eq!(host.requested().map(|(_, wanted)| wanted), Some(1));
}

/// Guards against a request for credit by a host whose share has recovered: the loan would end unused, and be lost to the lender.
#[test]
fn a_host_with_retries_left_requests_none() {
    let (now, mut host) = (Instant::now(), Host::new());
    assert_eq!(host.spend_all(now), 10);
    let (id, _) = host.requested().unwrap();
    (0..5).for_each(|_| assert_eq!(host.spend_all(now), 0));
    host.budgets.on_message(grant(id, 0), 2, now);
    let later = now + 2 * OPTIONS.window;
    assert_eq!(
        host.budgets.spend(&service(), RANK, 2, later, |_| Decision::Retry),
        Decision::Retry
    );
    assert_eq!(host.requested(), None);
}

/// Guards against a host that waits forever for a lender that is gone, or that uses a grant which arrives too late.
#[test]
fn a_lender_that_is_gone_is_given_up() {
    let (begun, mut borrower) = (Instant::now(), Host::new());
    assert_eq!(borrower.spend_all(begun), 10);
    let (gone, _) = borrower.requested().unwrap();
    assert_eq!((borrower.spend_all(begun), borrower.requested()), (0, None));
    let later = begun + CREDIT_PERIOD;
    borrower.budgets.on_message(grant(gone, 5), 2, later);
    assert_eq!(borrower.spend_all(later), 0);
    let (other, wanted) = borrower.requested().unwrap();
    assert_eq!(wanted, 2);
    borrower.budgets.on_message(grant(other, 5), 2, later);
    assert_eq!(borrower.spend_all(later), 2);
}

/// Guards against hosts without requests that lend from the part of the burst which they had while there were fewer hosts. The parts of all
/// hosts would exceed the burst.
#[test]
fn a_host_lends_from_its_part_of_the_burst_among_the_present_hosts() {
    let (now, mut lender) = (Instant::now(), Host::new());
    lender.budgets.on_request(&service(), RANK, 2, now);
    assert_eq!(lender.lend_among(10, 1, MAX_LOAN, now), 1);
    assert_eq!(lender.lend_among(20, 2, MAX_LOAN, now), 0);
}

/// Guards against a host that grants retries of a service for which it has had no request.
#[test]
fn a_host_without_a_budget_declines() {
    let mut lender = Host::new();
    assert_eq!(lender.lend(7, MAX_LOAN, Instant::now()), 0);
}

/// Guards against a reserve for ranks that get hardly any requests: a test route of rank 0 kept the orders from half of the budget.
#[test]
fn the_more_urgent_requests_are_those_that_arrive() {
    let (now, host) = (Instant::now(), Host::with(Options { ratio: 0.2, ..OPTIONS }));
    for (rank, requests) in [(0, 1), (1, 29), (2, 70)] {
        (0..requests).for_each(|_| host.budgets.on_request(&service(), rank, 2, now));
    }
    let more_urgent = |rank| {
        let mut seen = 0.0;
        host.budgets.decide(&service(), rank, 2, now, |budget| {
            seen = budget.more_urgent;
            Decision::Retry
        });
        seen
    };
    let seen: Vec<f64> = (0..3).map(more_urgent).collect();
    assert_eq!(seen, [0.0, 0.05, 1.5]);
    assert!(host.budgets.has_several_ranks(&service()));
}

/// Guards against keyed retries that a test route switches on for a service whose requests are of one rank.
#[test]
fn a_rank_with_hardly_any_requests_does_not_count() {
    let (now, host) = (Instant::now(), Host::new());
    assert!(!host.budgets.has_several_ranks(&service()));
    for (rank, requests) in [(0, 9), (2, 91)] {
        (0..requests).for_each(|_| host.budgets.on_request(&service(), rank, 2, now));
    }
    assert!(!host.budgets.has_several_ranks(&service()));
}

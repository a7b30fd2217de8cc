//! Borrowed retries: accepted once, used in time, and together with those of the lenders within the retry budget.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_dispatch::{
    RetryBudget,
    budget::Options,
    credit::{Borrower, CREDIT_PERIOD, REQUEST_INTERVAL},
};

/// Guards against a grant that arrives twice and is used twice.
#[test]
fn a_duplicate_grant_is_ignored() {
    let now = Instant::now();
    let mut borrower = Borrower::new(7);
    let id = borrower.request(8, now).unwrap();
    assert_eq!((borrower.on_grant(id, 5, now), borrower.on_grant(id, 5, now)), (5, 0));
    let used = (0..20).filter(|_| borrower.take(now)).count();
    assert_eq!((used, borrower.left(now)), (5, 0));
}

/// Guards against credit that is used after the lender has stopped counting it.
#[test]
fn credit_ends_some_time_after_the_request() {
    let begun = Instant::now();
    let mut borrower = Borrower::new(7);
    let id = borrower.request(8, begun).unwrap();
    let late = begun + CREDIT_PERIOD - Duration::from_millis(1);
    assert_eq!(borrower.on_grant(id, 5, late), 5);
    assert!(borrower.take(late) && !borrower.take(begun + CREDIT_PERIOD));
    assert_eq!(borrower.expire(begun + CREDIT_PERIOD), 4);
    let id = borrower.request(8, begun + CREDIT_PERIOD).unwrap();
    assert_eq!(borrower.on_grant(id, 5, begun + 2 * CREDIT_PERIOD), 0);
}

/// Guards against a host that floods the others with requests while nobody has anything left, or while a lender is gone.
#[test]
fn requests_are_limited() {
    let begun = Instant::now();
    let mut borrower = Borrower::new(7);
    let declined = (0..1000).filter(|ms| {
        let now = begun + Duration::from_millis(*ms);
        let id = borrower.request(8, now);
        id.is_some_and(|id| borrower.on_grant(id, 0, now) == 0)
    });
    assert_eq!(declined.count() as u128, 1000 / REQUEST_INTERVAL.as_millis());
    let mut borrower = Borrower::new(7);
    let silent =
        (0..1000).filter(|ms| borrower.request(8, begun + Duration::from_millis(*ms)).is_some());
    assert_eq!(silent.count() as u128, 1000 / CREDIT_PERIOD.as_millis());
}

const OPTIONS: Options = Options { ratio: 0.2, burst: 0.0, window: Duration::from_millis(1200) };

const HOSTS: usize = 6;

const STEP: Duration = Duration::from_millis(20);

/// Steps of one schedule.
const STEPS: usize = 700;

const SEEDS: u64 = 48;

/// A part of the protocol that the hosts of the test leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The lender counts a loan only in the windows that contain the time of the grant.
    Overlap,
    /// The borrower accepts every grant.
    IdCheck,
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Request { from: usize, id: u64 },
    Grant { id: u64, granted: u32 },
}

struct Host {
    budget: RetryBudget,
    borrower: Borrower,
    /// Credit that was accepted without a check of its id.
    unchecked: Vec<(u32, Instant)>,
    suspended_until: Instant,
    rate: u32,
    /// Share of the steps in which it sends as many retries as it may.
    wants: f64,
    /// From when it uses its credit: at once, or shortly before the end.
    hold_until: Instant,
}

/// Requests in each step. Hosts without any have nothing but what they borrow.
fn draw_rate(rng: &mut fastrand::Rng) -> u32 {
    [0, 0, 0, 0, 0, 1][rng.usize(0..6)]
}

fn draw_wants(rng: &mut fastrand::Rng) -> f64 {
    [0.2, 1.0, 1.0][rng.usize(0..3)]
}

impl Host {
    fn new(now: Instant, rng: &mut fastrand::Rng) -> Self {
        Self {
            budget: RetryBudget::new(OPTIONS, HOSTS as u32, now),
            borrower: Borrower::new(rng.u64(..)),
            unchecked: Vec::new(),
            suspended_until: now,
            rate: draw_rate(rng),
            wants: draw_wants(rng),
            hold_until: now,
        }
    }

    fn lend(&mut self, without: Without, now: Instant) -> u32 {
        match without {
            Without::Overlap => {
                let most = (self.budget.left(now) / 2.0).max(0.0) as usize;
                (0..most.min(8)).filter(|_| self.budget.take(now)).count() as u32
            }
            _ => self.budget.lend(8, now),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        if self.budget.take(now) || (now >= self.hold_until && self.borrower.take(now)) {
            return true;
        }
        let unchecked = self.unchecked.iter_mut().find(|(left, end)| *left > 0 && now < *end);
        unchecked.map(|(left, _)| *left -= 1).is_some()
    }
}

/// Hosts that lend retries to each other over a network that loses, delays and duplicates messages.
struct Fleet {
    rng: fastrand::Rng,
    without: Without,
    now: Instant,
    /// Probability that a message is lost, that it is duplicated, and that it is late.
    faults: [f64; 3],
    /// Whether credit that arrives now is used shortly before its end, and not at once.
    holds: bool,
    hosts: Vec<Host>,
    /// Messages by the step in which they arrive, with their receivers.
    network: BTreeMap<usize, Vec<(usize, Message)>>,
    /// Requests and retries of all hosts in each step.
    sent: Vec<(usize, usize)>,
    borrowed: usize,
}

impl Fleet {
    fn run(seed: u64, without: Without) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::new(now, &mut rng)).collect();
        // Nearly all of the first host's share is lent, and most schedules have no more than one kind of fault: whatever loses
        // credit leaves slack that would cover for a missing safeguard.
        (hosts[0].rate, hosts[0].wants) = (2, 0.05);
        let chances: [&[f64]; 3] = [&[0.0, 0.0, 0.0, 0.3], &[0.0, 0.0, 0.8], &[0.0, 0.0, 0.0, 0.3]];
        let faults = chances.map(|chances| chances[rng.usize(0..chances.len())]);
        let (network, sent) = (BTreeMap::new(), Vec::new());
        let mut fleet =
            Self { rng, without, now, faults, holds: false, hosts, network, sent, borrowed: 0 };
        (0..STEPS).for_each(|step| fleet.step(step));
        fleet
    }

    fn post(&mut self, step: usize, to: usize, message: Message) {
        let [lost, duplicated, late] = self.faults.map(|chance| self.rng.f64() < chance);
        let copies = usize::from(!lost) * if duplicated { 2 } else { 1 };
        for _ in 0..copies {
            // Mostly within 60 ms, sometimes up to 3 s late.
            let most = if late { 150 } else { 3 };
            let at = step + 1 + self.rng.usize(0..most);
            self.network.entry(at).or_default().push((to, message));
        }
    }

    fn step(&mut self, step: usize) {
        self.now += STEP;
        let now = self.now;
        for (to, message) in self.network.remove(&step).unwrap_or_default() {
            if now < self.hosts[to].suspended_until {
                self.network.entry(step + 1).or_default().push((to, message));
                continue;
            }
            self.on_message(step, to, message);
        }
        self.holds ^= self.rng.u32(0..40) == 0;
        let (mut requests, mut retries) = (0, 0);
        for n in 0..HOSTS {
            let chance = self.rng.u32(0..2000);
            let host = &mut self.hosts[n];
            if now < host.suspended_until {
                continue;
            }
            match chance {
                0 => {
                    let (rate, wants) = (host.rate, host.wants);
                    *host = Host { rate, wants, ..Host::new(now, &mut self.rng) };
                }
                1..=2 => host.suspended_until = now + STEP * self.rng.u32(1..100),
                3..=4 if n > 0 => host.rate = draw_rate(&mut self.rng),
                5..=8 if n > 0 => host.wants = draw_wants(&mut self.rng),
                _ => {}
            }
            (0..host.rate).for_each(|_| host.budget.on_request(now));
            requests += host.rate as usize;
            let wanted = if self.rng.f64() < host.wants { 40 } else { 0 };
            let taken = (0..wanted).take_while(|_| host.take(now)).count();
            retries += taken;
            if taken < wanted
                && let Some(id) = host.borrower.request(8, now)
            {
                // Mostly the first host, which has most to lend.
                let other = (n + self.rng.usize(1..HOSTS)) % HOSTS;
                let to = if n > 0 && self.rng.u32(0..4) > 0 { 0 } else { other };
                self.post(step, to, Message::Request { from: n, id });
            }
        }
        self.sent.push((requests, retries));
    }

    fn on_message(&mut self, step: usize, to: usize, message: Message) {
        let (now, without) = (self.now, self.without);
        let host = &mut self.hosts[to];
        match message {
            Message::Request { from, id } => {
                let granted = host.lend(without, now);
                self.post(step, from, Message::Grant { id, granted });
            }
            Message::Grant { id, granted } if without != Without::IdCheck => {
                self.borrowed += host.borrower.on_grant(id, granted, now) as usize;
                if self.holds {
                    host.hold_until = now + CREDIT_PERIOD * 4 / 5;
                }
            }
            Message::Grant { granted, .. } => host.unchecked.push((granted, now + CREDIT_PERIOD)),
        }
    }

    /// Retries in excess of the allowance, in the window with the most.
    fn excess(&self) -> f64 {
        let window = (OPTIONS.window.as_millis() / STEP.as_millis()) as usize;
        let sum = |begin: usize, back: usize| {
            let range = begin.saturating_sub(back)..(begin + window).saturating_sub(back);
            self.sent[range].iter().fold((0, 0), |sum, step| (sum.0 + step.0, sum.1 + step.1))
        };
        let excess = (0..self.sent.len() - window).map(|begin| {
            let requests = [0, window / 2, window].map(|back| sum(begin, back).0);
            let most = requests.into_iter().max().unwrap_or_default();
            sum(begin, 0).1 as f64 - OPTIONS.ratio * most as f64
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Guards against a window in which all hosts together exceed the budget because of credit, while hosts restart and are suspended
/// and messages are lost, late or duplicated.
#[test]
fn credit_never_exceeds_the_budget_of_all_hosts() {
    let mut borrowed = 0;
    for seed in 0..SEEDS {
        let fleet = Fleet::run(seed, Without::Nothing);
        let excess = fleet.excess();
        assert!(excess <= 0.0, "{excess} retries too many with seed {seed}");
        borrowed += fleet.borrowed;
    }
    assert!(borrowed as u64 > 10 * SEEDS, "only {borrowed} retries were borrowed");
}

/// Guards against a check of the budget that holds whatever the hosts do: it has to fail for hosts without one of the safeguards.
#[test]
fn the_budget_is_exceeded_without_a_safeguard() {
    for without in [Without::Overlap, Without::IdCheck] {
        let failed = (0..SEEDS).filter(|seed| Fleet::run(*seed, without).excess() > 0.0).count();
        println!("{without:?}: the budget is exceeded with {failed} of {SEEDS} seeds");
        assert!(failed > 0, "{without:?}");
    }
}

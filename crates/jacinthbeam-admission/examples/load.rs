//! Prints what admission makes of 0.5 to 5 times the capacity of one backend server, on a clock of its own:
//! `cargo run --release -p jacinthbeam-admission --example load`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_admission::server::{Admission, Offer, Options, Outcome, Ticket};
use jacinthbeam_types::prelude::*;

/// Requests of one run.
const REQUESTS: u64 = 100_000;
/// Mean service time; single ones are spread exponentially around it, cut at eight times the mean.
const SERVICE: Duration = Duration::from_millis(50);
/// Time from arrival to deadline.
const DEADLINES: [Duration; 2] = [Duration::from_millis(400), Duration::from_millis(2_000)];

struct Run {
    now: Instant,
    admission: Admission,
    rng: fastrand::Rng,
    /// End of each request that runs, and when its answer was due.
    ends: BTreeMap<Instant, (Ticket, Instant)>,
    arrived: BTreeMap<RequestId, Instant>,
    good: u64,
    late: u64,
    given_up: u64,
    latencies: Vec<Duration>,
}

fn main() {
    println!(
        "places  deadline  load  goodput (of capacity)  accepted: late, given up  p99 of answered"
    );
    for concurrency in [3, 6] {
        for deadline in DEADLINES {
            for load in [0.5, 1.0, 2.0, 5.0] {
                run(concurrency, deadline, load);
            }
        }
    }
}

fn run(concurrency: u32, deadline: Duration, load: f64) {
    let start = Instant::now();
    let options = Options { concurrency, ..Options::default() };
    let mut run = Run {
        now: start,
        admission: Admission::open(start, options, 0, true),
        rng: fastrand::Rng::with_seed(7),
        ends: BTreeMap::new(),
        arrived: BTreeMap::new(),
        good: 0,
        late: 0,
        given_up: 0,
        latencies: Vec::new(),
    };
    let interval = SERVICE.div_f64(f64::from(concurrency) * load);
    let mut arrival = start;
    for sequence in 0..REQUESTS {
        arrival += interval.mul_f64(exponential(&mut run.rng));
        run.until(arrival);
        run.offer(sequence, deadline);
    }
    let took = run.now.duration_since(start);
    let capacity = took.as_secs_f64() * f64::from(concurrency) / SERVICE.as_secs_f64();
    run.latencies.sort();
    let p99 = run.latencies.get(run.latencies.len() * 99 / 100).copied().unwrap_or_default();
    println!(
        "{concurrency:>6}  {deadline:>8.0?}  {load:>4}  {:>21.3}  {:>17}, {:>8}  {p99:.0?}",
        run.good as f64 / capacity,
        run.late,
        run.given_up,
    );
}

impl Run {
    fn offer(&mut self, sequence: u64, deadline: Duration) {
        let id = RequestId { incarnation: Incarnation(1), sequence };
        let team = "roads".parse().expect("the name is valid");
        let ticket = Ticket { id, team, slot: None, deadline: self.now + deadline };
        self.arrived.insert(id, self.now);
        match self.admission.offer(self.now, ticket.clone()) {
            Offer::Admit => self.start(ticket),
            Offer::Queue { displaced } => self.given_up += displaced.is_some() as u64,
            Offer::Refuse(_) => drop(self.arrived.remove(&id)),
        }
    }

    /// Lets requests end until `arrival`.
    fn until(&mut self, arrival: Instant) {
        while let Some(end) = self.ends.first_entry().filter(|end| *end.key() <= arrival) {
            let (at, (ticket, _)) = end.remove_entry();
            self.now = at;
            let latency = at - self.arrived.remove(&ticket.id).expect("it was offered");
            match at <= ticket.deadline {
                true => self.good += 1,
                false => self.late += 1,
            }
            self.latencies.push(latency);
            self.admission.finished(at, ticket.id, Outcome::Answered);
            self.poll();
        }
        self.now = arrival;
        self.poll();
    }

    fn poll(&mut self) {
        self.given_up += self.admission.expire(self.now).len() as u64;
        for ticket in self.admission.next(self.now) {
            self.start(ticket);
        }
    }

    fn start(&mut self, ticket: Ticket) {
        let took = SERVICE.mul_f64(exponential(&mut self.rng).min(8.0));
        let mut end = self.now + took;
        while self.ends.contains_key(&end) {
            end += Duration::from_nanos(1);
        }
        self.ends.insert(end, (ticket, end));
    }
}

fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

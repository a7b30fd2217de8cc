//! Admission to one attended backend server: its places, its queue and who is next.
//!
//! Only the attendant of a backend server sends it requests, so the places counted here are all there are, but for those
//! that an earlier attendant admitted ([`Admission::regranted`], [`Admission::reported`]).

mod estimate;
mod gate;
mod queue;
mod ramp;
mod running;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

pub use crate::request::ticket::{Refused, Ticket};
pub use gate::Gate;
pub use running::{Outcome, Report};

use estimate::Estimate;
use queue::Queue;
use ramp::Ramp;
use running::Places;

/// Longest hint given to a refused caller for when to come back.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Shortest such hint, so that a repeat never comes back in a tight loop.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// An accepted ticket is given up when even the estimated wait divided by this is too long, so that a passing
/// rise of the estimate costs nobody the place in the queue.
const WAIT_DOUBT: u32 = 2;

/// What can be tuned for one backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Requests that the backend server runs at once.
    pub concurrency: u32,
    /// Most tickets that wait.
    pub queue: usize,
    /// Share of each team in the places handed out; 1 for a team not named.
    pub weights: BTreeMap<TeamName, u32>,
    /// Places of a cold backend server at first.
    pub ramp_from: u32,
    /// Answers after which a cold backend server gets one place more.
    pub ramp_answers: u32,
    /// Least time between two such steps.
    pub ramp_step: Duration,
    /// How long after its deadline a request whose connection was lost is taken to be still running. Covers the time until the backend server notices
    /// the deadline and ends the request.
    pub grace: Duration,
    /// How long after its connection was closed a request that was on its way has begun, or never will.
    pub settle: Duration,
    /// How long tickets wait for a held slot or a paused gate. What takes longer is answered at once with a refusal, not near the deadline.
    pub patience: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            concurrency: 3,
            queue: 32,
            weights: BTreeMap::new(),
            ramp_from: 1,
            ramp_answers: 2,
            ramp_step: Duration::from_millis(100),
            grace: Duration::from_millis(250),
            settle: Duration::from_millis(50),
            patience: Duration::from_secs(1),
        }
    }
}

/// Answer to an offered ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// Send it now; its place is taken.
    Admit,
    /// It waits; [`Admission::next`] or [`Admission::expire`] will name it.
    Queue {
        /// Ticket of a team above its share that gave up its place in a full queue.
        displaced: Option<Refused>,
    },
    /// It was not taken.
    Refuse(Refusal),
}

/// What a cancelled request was doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cancelled {
    /// It waited and is gone; it was never sent.
    Waiting(Ticket),
    /// It was sent. Close its connection and report [`Outcome::Closed`] or [`Outcome::Lost`]; its place is held until then.
    Running,
    /// It is not known, or has ended.
    Unknown,
}

/// Who may send what to one backend server, and when.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    gate: Gate,
    gate_since: Instant,
    queue: Queue,
    places: Places,
    ramp: Ramp,
    estimate: Estimate,
    given_up: Vec<Refused>,
}

impl Admission {
    /// Starts for a backend server that was just granted, of which `foreign` requests were admitted by earlier attendants.
    ///
    /// A `cold` backend server (new, restarted, or just given slots) gets its places step by step.
    pub fn open(now: Instant, options: Options, foreign: u32, cold: bool) -> Self {
        let ramp = Ramp::new(&options, now, cold);
        Self {
            gate: Gate::Open,
            gate_since: now,
            queue: Queue::default(),
            places: Places::new(foreign),
            ramp,
            estimate: Estimate::default(),
            given_up: Vec::new(),
            options,
        }
    }

    /// Takes a ticket, lets it wait, or refuses it with proof that it was not sent.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Offer {
        if let Err(refusal) = self.check(now, &ticket) {
            return Offer::Refuse(refusal);
        }
        if self.may_start(&ticket) {
            self.places.start(now, ticket);
            return Offer::Admit;
        }
        if !self.is_in_time(now, &ticket) {
            return Offer::Refuse(self.overloaded());
        }
        if self.queue.len() < self.options.queue {
            self.queue.push(ticket, &self.options.weights);
            return Offer::Queue { displaced: None };
        }
        match self.queue.displace_for(&ticket.team, self.options.queue, &self.options.weights) {
            Some(displaced) => {
                self.queue.push(ticket, &self.options.weights);
                let refusal = self.overloaded();
                Offer::Queue { displaced: Some(Refused { ticket: displaced, refusal }) }
            }
            None => Offer::Refuse(self.overloaded()),
        }
    }

    /// The tickets to send now, earliest deadline first within a team, teams in turn. To be called after each [`Admission::expire`]
    /// and after whatever may have freed a place.
    pub fn next(&mut self, now: Instant) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.gate.is_open() && self.has_place() {
            let Some(ticket) = self.queue.pop() else { break };
            // A request sent too late to be answered would take a place and turn a clean `not-run` into `may-have-run`.
            if self.is_hopeless(now, &ticket) {
                let refusal = self.late(now, &ticket);
                self.given_up.push(Refused { ticket, refusal });
                continue;
            }
            self.queue.charge(&ticket.team, &self.options.weights);
            self.places.start(now, ticket.clone());
            admitted.push(ticket);
        }
        self.queue.drop_empty();
        admitted
    }

    /// The waiting tickets that can't be served in time any more, refused at once, and frees places that are surely free by now.
    pub fn expire(&mut self, now: Instant) -> Vec<Refused> {
        self.places.expire(now);
        let mut refused = std::mem::take(&mut self.given_up);
        refused.extend(self.expire_held(now));
        refused.extend(self.expire_late(now));
        refused
    }

    /// When [`Admission::expire`] has something to do at the latest, if nothing else happens.
    pub fn wake_at(&self) -> Option<Instant> {
        let run = self.estimate.own();
        let given_up = self.given_up.iter().map(|refused| refused.ticket.deadline).min();
        let earliest = self.queue.earliest().into_iter().chain(given_up).min();
        let hopeless = earliest.map(|at| at.checked_sub(run).unwrap_or(at));
        [hopeless, self.places.next_free(), self.held_until()].into_iter().flatten().min()
    }

    /// Reports how a sent request ended. Returns whether it was known as running.
    pub fn finished(&mut self, now: Instant, id: RequestId, outcome: Outcome) -> bool {
        let Some(since) = self.places.finish(now, id, outcome, self.options.grace) else {
            return false;
        };
        match outcome {
            Outcome::Answered => {
                self.estimate.took(now.saturating_duration_since(since));
                self.ramp.answered(&self.options, now);
            }
            Outcome::Shed => self.ramp.shed(now),
            Outcome::NotSent | Outcome::Refused | Outcome::Closed | Outcome::Lost => {}
        }
        true
    }

    /// The caller went away or the deadline passed.
    pub fn cancel(&mut self, id: RequestId) -> Cancelled {
        if let Some(ticket) = self.queue.remove(id) {
            return Cancelled::Waiting(ticket);
        }
        match self.places.is_live(id) {
            true => Cancelled::Running,
            false => Cancelled::Unknown,
        }
    }

    /// This host was granted anew under a higher token; `running_older` requests of lower tokens were still running then.
    ///
    /// Those sent before, by this host too, are counted by what the backend server reports from here on.
    pub fn regranted(&mut self, running_older: u32) {
        self.places.regranted(running_older);
    }

    /// The backend server was restarted: it gets its places step by step again.
    pub fn restarted(&mut self, now: Instant) {
        self.ramp = Ramp::new(&self.options, now, true);
    }

    /// Takes what the backend server said of its running requests.
    pub fn reported(&mut self, report: Report) {
        self.places.reported(report, self.options.settle);
    }

    /// Places that are taken or may be: own requests, lost ones not surely ended, and those of earlier attendants.
    pub fn in_use(&self) -> u32 {
        self.places.in_use()
    }

    /// Places that may be taken at present: the concurrency, less while the backend server is cold or sheds.
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// Number of waiting tickets.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Estimated wait of a ticket that came now, from offer to start. Zero until a first answer has been timed.
    pub fn estimated_wait(&self) -> Duration {
        self.estimate.wait(self.queue.len() + 1, self.limit())
    }

    fn check(&self, now: Instant, ticket: &Ticket) -> Result<(), Refusal> {
        if self.places.is_known(ticket.id) || self.queue.contains(ticket.id) {
            return Err(Refusal::may_have_run(Reason::InProgress).retry_after(self.hint()));
        }
        if let Some(reason) = self.refuses(now, ticket.slot) {
            return Err(Refusal::not_run(reason).retry_after(MIN_RETRY_AFTER));
        }
        if ticket.deadline <= now {
            return Err(Refusal::not_run(Reason::DeadlinePassed));
        }
        Ok(())
    }

    fn may_start(&self, ticket: &Ticket) -> bool {
        // Also with a place free, a ticket must not pass others that wait for it.
        self.gate.is_open()
            && self.has_place()
            && !self.queue.is_held(ticket.slot)
            && !self.queue.has_ready()
    }

    fn has_place(&self) -> bool {
        self.in_use() < self.limit()
    }

    fn is_in_time(&self, now: Instant, ticket: &Ticket) -> bool {
        let ahead = self.queue.ahead_of(&ticket.team, ticket.deadline, &self.options.weights);
        let wait = self.estimate.wait(ahead + 1, self.limit());
        now + wait + self.estimate.own() < ticket.deadline
    }

    /// Refuses the tickets that would not be served in time even if the wait were much shorter than it looks now.
    ///
    /// Tickets with earlier deadlines, or a backend server that got slower, push back what was accepted before.
    fn expire_late(&mut self, now: Instant) -> Vec<Refused> {
        let (estimate, limit) = (&self.estimate, self.ramp.limit());
        let is_late = |ahead: usize, ticket: &Ticket| {
            let wait = estimate.wait(ahead, limit) / WAIT_DOUBT;
            now + wait + estimate.own() >= ticket.deadline
        };
        let late = self.queue.remove_by_position(&self.options.weights, is_late);
        let refuse = |ticket: Ticket| Refused { refusal: self.late(now, &ticket), ticket };
        late.into_iter().map(refuse).collect()
    }

    fn is_hopeless(&self, now: Instant, ticket: &Ticket) -> bool {
        now + self.estimate.own() >= ticket.deadline
    }

    fn late(&self, now: Instant, ticket: &Ticket) -> Refusal {
        let reason = match ticket.deadline <= now {
            true => Reason::DeadlinePassed,
            false => Reason::Overloaded,
        };
        Refusal::not_run(reason).retry_after(self.hint())
    }

    fn overloaded(&self) -> Refusal {
        Refusal::not_run(Reason::Overloaded).retry_after(self.hint())
    }

    fn hint(&self) -> Duration {
        self.estimated_wait().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

//! Whether a request that a server rejected as full is sent to the same server again, and which retries the retry budget is spent
//! on.

use std::time::{Duration, Instant};

use jacinthbeam_admission::report::StatedLoad;

/// Maximum number of sends of one request, including those that a server refused.
pub const MAX_SENDS: u32 = 3;

/// Age from which a stated load says nothing about the queue at present: a queue fills or empties within it.
pub const STATED_LOAD_TTL: Duration = Duration::from_millis(300);

/// Rejections in a row, within [`STREAK_PERIOD`], from which the queue is taken to be full. A server that rejects 55 % at random
/// rejects four in a row with a probability of 9 %.
const STREAK: usize = 4;

/// See [`STREAK`].
const STREAK_PERIOD: Duration = Duration::from_secs(1);

/// Share of the budget's size that is reserved for more urgent requests, if they could use all of it.
const RESERVE: f64 = 0.5;

/// A rejection of a request by the server that has to run it.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// Sends of the request so far.
    pub sends: u32,
    /// Whether an admission gate is in force for the server that admits only a part of the requests of this rank.
    pub gated: bool,
    /// What the server stated last about its load, and the age of the statement.
    pub stated: Option<(Duration, StatedLoad)>,
    /// Whether the server has rejected many requests of this host in a row; see [`Streak::is_long`].
    pub in_streak: bool,
}

/// The retry budget as seen by one request.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// Retries that are left, borrowed ones included.
    pub left: f64,
    /// Retries that would be left if none had been spent.
    pub size: f64,
    /// Requests of more urgent ranks for each retry that the budget allows, at present. From 1 on they could use all of it.
    pub more_urgent: f64,
}

/// Time that a request has left.
#[derive(Debug, Clone, Copy)]
pub struct TimeLeft {
    /// Until its deadline.
    pub deadline: Duration,
    /// Until its objective.
    pub objective: Duration,
    /// Mean service time of the server.
    pub service_time: Duration,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it again.
    Retry,
    /// Refuse it.
    Refuse(Why),
}

/// Why a request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// It was sent [`MAX_SENDS`] times.
    Sends,
    /// An admission gate is in force for the server.
    Gate,
    /// The server's stated load shows a full queue.
    Queue,
    /// The server has rejected many requests in a row.
    Streak,
    /// The answer would come after the deadline.
    Time,
    /// The retry budget is used up.
    Budget,
    /// What is left of the retry budget is reserved for more urgent requests.
    Reserve,
}

impl Why {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sends => "sends",
            Self::Gate => "gate",
            Self::Queue => "queue",
            Self::Streak => "streak",
            Self::Time => "time",
            Self::Budget => "budget",
            Self::Reserve => "reserve",
        }
    }
}

/// Decides about a request that a server rejected as full: it is sent again if the rejection is likely to be random, if there is
/// time, and if the budget allows it.
pub fn decide(rejection: Rejection, time: TimeLeft, budget: Budget) -> Decision {
    let Rejection { sends, gated, stated, in_streak } = rejection;
    let is_full = |(age, stated): (Duration, StatedLoad)| {
        age < STATED_LOAD_TTL && !stated.has_free_slot() && stated.waiting >= stated.slots
    };
    let why = if sends >= MAX_SENDS {
        Why::Sends
    } else if gated {
        Why::Gate
    } else if stated.is_some_and(is_full) {
        Why::Queue
    } else if in_streak {
        Why::Streak
    } else if time.deadline < time.service_time {
        Why::Time
    } else {
        return spend(time, budget);
    };
    Decision::Refuse(why)
}

/// Decides whether the budget is spent on a retry. The most urgent requests may use all of it, as long as the answer is likely to come
/// within the objective. Any other retry leaves a reserve of up to half the budget's size, by the number of more urgent requests.
pub fn spend(time: TimeLeft, budget: Budget) -> Decision {
    let Budget { left, size, more_urgent } = budget;
    let is_late = time.objective < time.service_time;
    // A route that is more urgent and hardly used must not keep the others from the budget.
    let reserved = if is_late { 1.0 } else { more_urgent.clamp(0.0, 1.0) };
    let reserve = size.max(0.0) * RESERVE * reserved;
    if left < 1.0 {
        Decision::Refuse(Why::Budget)
    } else if left - reserve < 1.0 {
        Decision::Refuse(Why::Reserve)
    } else {
        Decision::Retry
    }
}

/// Decides whether the budget is spent on a retry that is likely to succeed, whatever its rank: all of the budget may be used.
pub fn spend_any(budget: Budget) -> Decision {
    match budget.left < 1.0 {
        true => Decision::Refuse(Why::Budget),
        false => Decision::Retry,
    }
}

/// The latest rejections in a row of this host's requests by one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Streak {
    /// Times of the latest rejections since the last answer, the newest first.
    times: [Option<Instant>; STREAK],
}

impl Streak {
    /// Records that the server rejected a request as full.
    pub fn on_rejected(&mut self, now: Instant) {
        self.times.rotate_right(1);
        self.times[0] = Some(now);
    }

    /// Records that the server ran a request.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Whether the last four requests within a second were all rejected.
    pub fn is_long(&self, now: Instant) -> bool {
        let oldest = self.times[STREAK - 1];
        oldest.is_some_and(|at| now.saturating_duration_since(at) < STREAK_PERIOD)
    }
}

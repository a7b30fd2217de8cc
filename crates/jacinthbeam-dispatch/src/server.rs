//! What this host has seen of one backend server.

use std::time::{Duration, Instant};

/// Weight of a new answer in the mean: the last eight or so count, which a host sees of a server within some seconds.
const WEIGHT: f64 = 0.2;

/// Time of an answer assumed before the first: a middling value, so that a new server is tried but not flooded.
const ASSUMED: Duration = Duration::from_millis(200);

/// Pause after a server refused a request for want of room. Half the time that one of its requests takes, so that about one
/// slot has become free.
const FULL_FOR: Duration = Duration::from_millis(100);

/// Pause after a server could not be reached, doubled with each further failure up to [`LONGEST_AVOIDED`].
const AVOIDED_FOR: Duration = Duration::from_millis(500);

/// Longest such pause: a server that has come back gets work again within it.
const LONGEST_AVOIDED: Duration = Duration::from_secs(4);

/// How fast the time that is assumed of a server without an answer loses its weight: it counts half after this time, a third after
/// twice as long. A host tries a new server within a second or two, each at another moment.
const ASSUMED_FADES_IN: Duration = Duration::from_millis(500);

/// The same for a time that was measured, once the server has had no request of this host for as long.
///
/// A server that was slow for a while, or was measured when it had just started, is never asked again while the others have room, and so
/// never known to be fast again. One that is twice as slow as the others gets a request of each host every six seconds.
const MEASURED_FADES_IN: Duration = Duration::from_secs(3);

/// Part of a server's requests that failed, above which it is used only when the others are no better.
const FAILING: f64 = 0.25;

/// Observations of one server, by one host.
#[derive(Debug, Clone)]
pub struct ServerStats {
    /// When each request began that this host has at the server now, ascending.
    begun: Vec<Instant>,
    /// When the last request began, or the server was first heard of.
    asked: Option<Instant>,
    answered: bool,
    mean: Duration,
    /// Faded share of requests that ended without a good answer.
    failed: f64,
    failures_in_row: u32,
    full_until: Option<Instant>,
    avoided_until: Option<Instant>,
}

impl Default for ServerStats {
    fn default() -> Self {
        Self {
            begun: Vec::new(),
            asked: None,
            answered: false,
            mean: ASSUMED,
            failed: 0.0,
            failures_in_row: 0,
            full_until: None,
            avoided_until: None,
        }
    }
}

impl ServerStats {
    /// Nothing is known of a server that is heard of now.
    pub fn new(now: Instant) -> Self {
        Self { asked: Some(now), ..Self::default() }
    }

    /// A request is sent to the server.
    pub fn begin(&mut self, now: Instant) {
        self.asked = self.asked.max(Some(now));
        self.begun.push(now);
    }

    /// A request that began at `begun` is there no more.
    pub fn end(&mut self, begun: Instant) {
        if let Some(at) = self.begun.iter().position(|other| *other == begun) {
            self.begun.remove(at);
        }
    }

    /// Requests of this host that are at the server now.
    pub fn in_flight(&self) -> u32 {
        self.begun.len() as u32
    }

    /// A whole answer came after this time.
    pub fn on_answer(&mut self, took: Duration) {
        let weight = if std::mem::replace(&mut self.answered, true) { WEIGHT } else { 1.0 };
        self.mean = self.mean.mul_f64(1.0 - weight) + took.mul_f64(weight);
        self.failed *= 1.0 - WEIGHT;
        self.failures_in_row = 0;
        self.avoided_until = None;
    }

    /// The server refused a request for want of room.
    pub fn on_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_FOR);
    }

    /// The server answered with an error of its own.
    pub fn on_error(&mut self) {
        self.failed = self.failed * (1.0 - WEIGHT) + WEIGHT;
    }

    /// The server could not be reached, fell silent or broke off.
    pub fn on_failure(&mut self, now: Instant) {
        self.on_error();
        let pause = AVOIDED_FOR * 2u32.pow(self.failures_in_row.min(3));
        self.failures_in_row += 1;
        self.avoided_until = Some(now + pause.min(LONGEST_AVOIDED));
    }

    /// Whether the server was full a moment ago.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether the server failed a moment ago.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Whether many of its requests fail though it answers.
    pub fn is_failing(&self) -> bool {
        self.failed > FAILING
    }

    /// Mean time of an answer.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Mean time of an answer, the lower the longer nobody looked.
    ///
    /// That is for hosts of the server's own failure domain to find out: an answer from elsewhere is charged by the byte, and hosts that
    /// tried all servers everywhere cost a sixth more bytes between domains.
    fn believed(&self, now: Instant, near: bool) -> Duration {
        let asked = self.asked.filter(|_| near && self.begun.is_empty());
        let Some(asked) = asked else { return self.mean };
        let fades_in = if self.answered { MEASURED_FADES_IN } else { ASSUMED_FADES_IN };
        let unseen = now.saturating_duration_since(asked).as_secs_f64() / fades_in.as_secs_f64();
        self.mean.div_f64(1.0 + unseen)
    }

    /// Time after which one more request would be answered, as far as this host can tell.
    ///
    /// A server that has become slow, or silent, gives no answers to learn it from, and goes on looking as fast as before while
    /// requests gather there until their deadlines. The age of the oldest one tells after the time of an ordinary answer.
    pub fn expected(&self, now: Instant, slots: u32, near: bool) -> Duration {
        let oldest = self.begun.first().map(|begun| now.saturating_duration_since(*begun));
        let mean = self.believed(now, near).max(oldest.unwrap_or_default());
        mean.mul_f64(1.0 + f64::from(self.in_flight()) / f64::from(slots.max(1)))
    }
}

//! What this host has seen of one backend server.

use std::time::{Duration, Instant};

/// Weight of a new answer in the mean: the last eight or so count, which a host sees of a server within some seconds.
const EWMA_WEIGHT: f64 = 0.2;

/// Time of an answer assumed before the first: a middling value, so that a new server is tried but not flooded.
const INITIAL_LATENCY: Duration = Duration::from_millis(200);

/// Pause after a server refused a request for want of room. Half the time that one of its requests takes, so that about one
/// slot has become free.
const FULL_BACKOFF: Duration = Duration::from_millis(100);

/// Pause after a server could not be reached, doubled with each further failure up to [`LONGEST_AVOIDED`].
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// Longest such pause: a server that has come back gets work again within it.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// How fast the time that is assumed of a server without an answer loses its weight: it counts half after this time, a third after
/// twice as long. A host tries a new server within a second or two, each at another moment.
const INITIAL_DECAY_TIME: Duration = Duration::from_millis(500);

/// The same for a time that was measured, once the server has had no request of this host for as long.
///
/// A server that was slow for a while, or was measured when it had just started, is never asked again while the others have room, and so
/// never known to be fast again. One that is twice as slow as the others gets a request of each host every six seconds.
const MEASURED_DECAY_TIME: Duration = Duration::from_secs(3);

/// Part of a server's requests that failed, above which it is used only when the others are no better.
const FAILING_RATIO: f64 = 0.25;

/// Observations of one server, by one host.
#[derive(Debug, Clone)]
pub struct ServerStats {
    /// When each request began that this host has at the server now, ascending.
    started: Vec<Instant>,
    /// When the last request began, or the server was first heard of.
    last_request: Option<Instant>,
    has_answered: bool,
    mean: Duration,
    /// Faded share of requests that ended without a good answer.
    failure_ratio: f64,
    consecutive_failures: u32,
    full_until: Option<Instant>,
    backoff_until: Option<Instant>,
}

impl Default for ServerStats {
    fn default() -> Self {
        Self {
            started: Vec::new(),
            last_request: None,
            has_answered: false,
            mean: INITIAL_LATENCY,
            failure_ratio: 0.0,
            consecutive_failures: 0,
            full_until: None,
            backoff_until: None,
        }
    }
}

impl ServerStats {
    /// Nothing is known of a server that is heard of now.
    pub fn new(now: Instant) -> Self {
        Self { last_request: Some(now), ..Self::default() }
    }

    /// A request is sent to the server.
    pub fn begin(&mut self, now: Instant) {
        self.last_request = self.last_request.max(Some(now));
        self.started.push(now);
    }

    /// A request that began at `begun` is there no more.
    pub fn end(&mut self, begun: Instant) {
        if let Some(at) = self.started.iter().position(|other| *other == begun) {
            self.started.remove(at);
        }
    }

    /// Requests of this host that are at the server now.
    pub fn in_flight(&self) -> u32 {
        self.started.len() as u32
    }

    /// A whole answer came after this time.
    pub fn on_answer(&mut self, took: Duration) {
        let weight =
            if std::mem::replace(&mut self.has_answered, true) { EWMA_WEIGHT } else { 1.0 };
        self.mean = self.mean.mul_f64(1.0 - weight) + took.mul_f64(weight);
        self.failure_ratio *= 1.0 - EWMA_WEIGHT;
        self.consecutive_failures = 0;
        self.backoff_until = None;
    }

    /// The server refused a request for want of room.
    pub fn on_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_BACKOFF);
    }

    /// The server answered with an error of its own.
    pub fn on_error(&mut self) {
        self.failure_ratio = self.failure_ratio * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT;
    }

    /// The server could not be reached, fell silent or broke off.
    pub fn on_failure(&mut self, now: Instant) {
        self.on_error();
        let pause = MIN_FAILURE_BACKOFF * 2u32.pow(self.consecutive_failures.min(3));
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + pause.min(MAX_FAILURE_BACKOFF));
    }

    /// Whether the server was full a moment ago.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether the server failed a moment ago.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether many of its requests fail though it answers.
    pub fn is_failing(&self) -> bool {
        self.failure_ratio > FAILING_RATIO
    }

    /// Mean time of an answer.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Mean time of an answer, the lower the longer nobody looked.
    ///
    /// That is for hosts of the server's own failure domain to find out: an answer from elsewhere is charged by the byte, and hosts that
    /// tried all servers everywhere cost a sixth more bytes between domains.
    fn decayed_mean(&self, now: Instant, explores: bool) -> Duration {
        let last_request = self.last_request.filter(|_| explores && self.started.is_empty());
        let Some(last_request) = last_request else { return self.mean };
        let decay_time = if self.has_answered { MEASURED_DECAY_TIME } else { INITIAL_DECAY_TIME };
        let idle =
            now.saturating_duration_since(last_request).as_secs_f64() / decay_time.as_secs_f64();
        self.mean.div_f64(1.0 + idle)
    }

    /// Time after which one more request would be answered, as far as this host can tell.
    ///
    /// A server that has become slow, or silent, gives no answers to learn it from, and goes on looking as fast as before while
    /// requests gather there until their deadlines. The age of the oldest one tells after the time of an ordinary answer.
    pub fn expected_latency(&self, now: Instant, slots: u32, explores: bool) -> Duration {
        let oldest = self.started.first().map(|begun| now.saturating_duration_since(*begun));
        let mean = self.decayed_mean(now, explores).max(oldest.unwrap_or_default());
        mean.mul_f64(1.0 + f64::from(self.in_flight()) / f64::from(slots.max(1)))
    }
}

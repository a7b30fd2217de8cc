//! This host's observations of one backend server.

use std::time::{Duration, Instant};

/// Weight of a new answer in the moving averages. About the last eight answers count, which a host receives from a server
/// within a few seconds.
const EWMA_WEIGHT: f64 = 0.2;

/// Latency assumed before the first answer: a medium value, so that a new server is tried but not flooded.
const INITIAL_LATENCY: Duration = Duration::from_millis(200);

/// Backoff after a server refused a request because it was full: half the duration of a request, within which about one slot
/// becomes free.
const FULL_BACKOFF: Duration = Duration::from_millis(100);

/// Backoff after a server could not be reached. It doubles with each further failure, up to [`MAX_FAILURE_BACKOFF`].
const MIN_FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// Longest backoff after failures. A server that is reachable again gets requests again within this time.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// Time after which [`INITIAL_LATENCY`] counts only half for a server that has not answered yet; after twice as long it counts a
/// third.
///
/// Each host thereby tries a new server within a second or two, and hosts do so at different times.
const INITIAL_DECAY_TIME: Duration = Duration::from_millis(500);

/// The same for a measured mean, counted from this host's last request to the server.
///
/// Without the decay, a server that was slow for a while, or measured while cold, would get no request as long as the others
/// have capacity, so that its recovery would go unnoticed. A server that is twice as slow as the others gets a request from each
/// host every six seconds.
const MEASURED_DECAY_TIME: Duration = Duration::from_secs(3);

/// Share of failed requests above which a server is used only if the others are no better.
const FAILING_RATIO: f64 = 0.25;

/// Observations of one server, by one host.
#[derive(Debug, Clone)]
pub struct ServerStats {
    /// Start times of this host's requests in flight at the server, ascending.
    started: Vec<Instant>,
    /// When the last request started, or the server became known.
    last_request: Option<Instant>,
    has_answered: bool,
    mean: Duration,
    /// Moving average of the share of requests that failed.
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
    /// Statistics of a server that becomes known at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_request: Some(now), ..Self::default() }
    }

    /// Records the start of a request.
    pub fn begin(&mut self, now: Instant) {
        self.last_request = self.last_request.max(Some(now));
        self.started.push(now);
    }

    /// Records the end of the request that started at `begun`.
    pub fn end(&mut self, begun: Instant) {
        if let Some(at) = self.started.iter().position(|other| *other == begun) {
            self.started.remove(at);
        }
    }

    /// Requests of this host that are in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.started.len() as u32
    }

    /// The same, only those that started no later than `at`.
    pub fn in_flight_since(&self, at: Instant) -> u32 {
        self.started.partition_point(|begun| *begun <= at) as u32
    }

    /// Age of the oldest of these requests.
    pub fn oldest(&self, now: Instant) -> Option<Duration> {
        self.started.first().map(|begun| now.saturating_duration_since(*begun))
    }

    /// Records a successful answer and its latency.
    pub fn on_answer(&mut self, took: Duration) {
        let weight =
            if std::mem::replace(&mut self.has_answered, true) { EWMA_WEIGHT } else { 1.0 };
        self.mean = self.mean.mul_f64(1.0 - weight) + took.mul_f64(weight);
        self.failure_ratio *= 1.0 - EWMA_WEIGHT;
        self.consecutive_failures = 0;
        self.backoff_until = None;
    }

    /// Records that the server refused a request because it was full.
    pub fn on_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_BACKOFF);
    }

    /// Records an error response of the server.
    pub fn on_error(&mut self) {
        self.failure_ratio = self.failure_ratio * (1.0 - EWMA_WEIGHT) + EWMA_WEIGHT;
    }

    /// Records that the server was unreachable, did not answer in time or broke the connection.
    pub fn on_failure(&mut self, now: Instant) {
        self.on_error();
        let pause = MIN_FAILURE_BACKOFF * 2u32.pow(self.consecutive_failures.min(3));
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + pause.min(MAX_FAILURE_BACKOFF));
    }

    /// Whether the server was full recently.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether the server is in backoff after a failure.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether a large share of its requests fails.
    pub fn is_failing(&self) -> bool {
        self.failure_ratio > FAILING_RATIO
    }

    /// Whether the server has answered, so that the mean is measured.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Moving average of the latency.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Mean latency, decayed by the time since this host's last request to the server, so that an idle server is tried again.
    ///
    /// Decays only if `explores`, which is set for servers in the host's own failure domain and preferred subset: traffic between
    /// domains is charged by the byte, and exploring all servers everywhere cost a sixth more of it.
    fn decayed_mean(&self, now: Instant, explores: bool) -> Duration {
        let last_request = self.last_request.filter(|_| explores && self.started.is_empty());
        let Some(last_request) = last_request else { return self.mean };
        let decay_time = if self.has_answered { MEASURED_DECAY_TIME } else { INITIAL_DECAY_TIME };
        let idle =
            now.saturating_duration_since(last_request).as_secs_f64() / decay_time.as_secs_f64();
        self.mean.div_f64(1.0 + idle)
    }

    /// Expected latency of one more request.
    ///
    /// A server that has become slow or silent returns no answers that would raise its mean, so requests would pile up there
    /// until their deadlines. The age of the oldest request in flight is a lower bound of the latency, and exceeds the mean once
    /// an ordinary answer is overdue.
    pub fn expected_latency(&self, now: Instant, slots: u32, explores: bool) -> Duration {
        let mean = self.decayed_mean(now, explores).max(self.oldest(now).unwrap_or_default());
        mean.mul_f64(1.0 + f64::from(self.in_flight()) / f64::from(slots.max(1)))
    }
}

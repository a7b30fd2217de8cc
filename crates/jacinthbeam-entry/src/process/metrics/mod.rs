//! Metrics of the process, by `opentelemetry`, scraped as text.
//!
//! Traffic records what it does as it happens. The control thread leaves a [`Sample`] every second,
//! from which a scrape takes the rest: nothing is left behind there of a backend server that is
//! attended no more. `docs/OPERATORS.md` explains each name.

mod observe;
mod sample;

use std::{sync::Arc, time::Duration};

use http::Response;
use jacinthbeam_types::prelude::*;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

pub use observe::Samples;
pub use sample::{Sample, ServerSample, ServiceSample};

/// Bounds of the time buckets in seconds.
const SECONDS: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0];
/// Stands for the service of a request that names none that is configured. Callers must not be able to invent labels.
const NO_SERVICE: &str = "-";
/// Stands for the reason of a request that a backend server answered.
const ANSWERED: &str = "Answered";

/// The instruments of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    samples: Arc<Samples>,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    latency: Histogram<f64>,
    queue: Histogram<f64>,
}

/// How a request ended, as an extension of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it was refused; `None` if a backend server answered.
    pub reason: Option<Reason>,
}

impl Metrics {
    /// Instruments in a registry of their own, so that several processes' worth of them fit into one test.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("the registry is new, so nothing in it clashes");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jacinthbeam");
        let samples = Arc::new(Samples::new(clock));
        samples.observe(&meter);
        let seconds = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(description);
            histogram.with_boundaries(SECONDS.to_vec()).build()
        };
        let count = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        Self {
            requests: count(
                "jacinthbeam_requests",
                "Requests of callers by service, verdict and reason.",
            ),
            attempts: count(
                "jacinthbeam_attempts",
                "Attempts of callers' requests that left this host or ran here, by service.",
            ),
            retries: count("jacinthbeam_retries", "Attempts after the first one, by service."),
            latency: seconds(
                "jacinthbeam_request_seconds",
                "Time from a request's arrival to the head of its answer.",
            ),
            queue: seconds(
                "jacinthbeam_queue_seconds",
                "Time that requests waited here for a place at their backend server.",
            ),
            samples,
            registry,
            _provider: provider,
        }
    }

    /// Counts a request of a caller that was answered. `service` is one that is configured.
    pub fn request<B>(&self, service: Option<&ServiceName>, res: &Response<B>, took: Duration) {
        let Some(ended) = res.extensions().get::<Ended>() else { return };
        let service = service.map_or(NO_SERVICE.to_owned(), ToString::to_string);
        let service = KeyValue::new("service", service);
        let verdict = KeyValue::new("verdict", ended.verdict.as_str());
        let reason = ended.reason.map_or(ANSWERED.to_owned(), |reason| format!("{reason:?}"));
        self.latency.record(took.as_secs_f64(), std::slice::from_ref(&service));
        self.requests.add(1, &[service, verdict, KeyValue::new("reason", reason)]);
    }

    /// Counts an attempt.
    pub fn attempt(&self, service: &ServiceName) {
        self.attempts.add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts an attempt after the first one.
    pub fn retry(&self, service: &ServiceName) {
        self.retries.add(1, &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts a request that got a place at its backend server.
    pub fn queued(&self, service: &ServiceName, waited: Duration) {
        let service = KeyValue::new("service", service.to_string());
        self.queue.record(waited.as_secs_f64(), &[service]);
    }

    /// Replaces what the control thread last said.
    pub fn sampled(&self, sample: Sample) {
        self.samples.set(sample);
    }

    /// All metrics in the text format that scrapers read.
    pub fn scrape(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => format!("# not encoded: {err}\n"),
        }
    }
}

//! Metrics of the process, by `opentelemetry`, scraped as text.

use std::time::Duration;

use jacinthbeam_types::prelude::*;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the time buckets in seconds.
const SECONDS: [f64; 12] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0];

/// The instruments of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    latency: Histogram<f64>,
}

impl Metrics {
    /// Instruments in a registry of their own, so that several processes' worth of them fit into one test.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("the registry is new, so nothing in it clashes");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jacinthbeam");
        Self {
            requests: meter
                .u64_counter("jacinthbeam_requests")
                .with_description("Requests of callers by service and verdict.")
                .build(),
            attempts: meter
                .u64_counter("jacinthbeam_attempts")
                .with_description("Attempts that left this host, by service.")
                .build(),
            latency: meter
                .f64_histogram("jacinthbeam_request_seconds")
                .with_description("Time from a request's arrival to the head of its answer.")
                .with_boundaries(SECONDS.to_vec())
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request of a caller that was answered.
    pub fn request(&self, service: &ServiceName, verdict: Verdict, took: Duration) {
        let service = KeyValue::new("service", service.to_string());
        let verdict = KeyValue::new("verdict", verdict.as_str());
        self.latency.record(took.as_secs_f64(), std::slice::from_ref(&service));
        self.requests.add(1, &[service, verdict]);
    }

    /// Counts an attempt.
    pub fn attempt(&self, service: &ServiceName) {
        self.attempts.add(1, &[KeyValue::new("service", service.to_string())]);
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

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

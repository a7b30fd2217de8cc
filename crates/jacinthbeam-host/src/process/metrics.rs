//! Counters and latency of one process, by `opentelemetry`, read as text.

use std::{sync::Arc, time::Duration};

use jacinthbeam_range::Event;
use jacinthbeam_store::Error;
use jacinthbeam_types::prelude::*;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the time buckets in seconds, around the objectives of callers.
const SECONDS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0];

/// Instruments of the process.
#[derive(Debug)]
pub struct Counters {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    /// Requests that could not be read.
    pub bad_requests: Counter<u64>,
    /// Answers of backend servers passed on, by whether they were successes.
    answers: Counter<u64>,
    /// Time from a request's arrival to its answer.
    latency: Histogram<f64>,
    /// Refusals and failures, by verdict and reason.
    refusals: Counter<u64>,
    /// Records of owners, by outcome.
    records: Counter<u64>,
    /// Rounds of grants and releases, by outcome.
    grants: Counter<u64>,
    /// Whether this process grants keys.
    pub leads: Gauge<u64>,
}

impl Counters {
    /// Instruments in a registry of their own.
    pub fn new() -> Arc<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("the registry is new, so nothing in it clashes");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jacinthbeam");
        let count = |name: &'static str| meter.u64_counter(name).build();
        let latency = meter.f64_histogram("jacinthbeam_answer_seconds");
        Arc::new(Self {
            bad_requests: count("jacinthbeam_bad_requests"),
            answers: count("jacinthbeam_answers"),
            latency: latency.with_boundaries(SECONDS.to_vec()).build(),
            refusals: count("jacinthbeam_refusals"),
            records: count("jacinthbeam_records"),
            grants: count("jacinthbeam_grants"),
            leads: meter.u64_gauge("jacinthbeam_leads").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answer of a backend server.
    pub fn on_answer(&self, good: bool, took: Duration) {
        self.answers.add(1, &[KeyValue::new("good", good)]);
        self.latency.record(took.as_secs_f64(), &[]);
    }

    /// Counts a request that got no answer of a backend server.
    pub fn on_refusal(&self, refusal: &Refusal) {
        let verdict = KeyValue::new("verdict", refusal.verdict.as_str());
        let reason = KeyValue::new("reason", format!("{:?}", refusal.reason));
        self.refusals.add(1, &[verdict, reason]);
    }

    /// Counts a record of owners that was kept, or not.
    pub fn on_record(&self, err: Option<&Error>) {
        let outcome = match err {
            None => "kept",
            Some(Error::Conflict) => "conflict",
            Some(err) if err.may_be_done() => "unknown",
            Some(_) => "refused",
        };
        self.records.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a round of grants or a release that has ended.
    pub fn on_grant(&self, event: &Event) {
        let (kind, outcome) = match event {
            Event::Granted { outcome, .. } => ("round", format!("{outcome:?}")),
            Event::Released { handover, .. } => {
                ("release", if handover.is_ok() { "Answered" } else { "Silent" }.to_owned())
            }
            _ => return,
        };
        self.grants.add(1, &[KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)]);
    }

    /// All values, as text.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => format!("# the metrics can't be written: {err}\n"),
        }
    }
}

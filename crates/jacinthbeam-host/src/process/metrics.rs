//! Metrics of one process, recorded by `opentelemetry` and exported as Prometheus text.

use std::{sync::Arc, time::Duration};

use jacinthbeam_crash::Fingerprint;
use jacinthbeam_range::{Event, grantor::Outcome};
use jacinthbeam_store::{Call, Error};
use jacinthbeam_types::prelude::*;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::send_outcome::SendOutcome;

/// Bounds of the histogram buckets in seconds, around the latency objectives of callers.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0];

/// Instruments of the process.
#[derive(Debug)]
pub struct Counters {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _provider: SdkMeterProvider,
    /// Requests that could not be parsed.
    pub bad_requests: Counter<u64>,
    /// Answers of backend servers that were passed on, by success.
    answers: Counter<u64>,
    /// Time from a request's arrival to its answer.
    latency: Histogram<f64>,
    /// Refusals and failures, by verdict and reason.
    refusals: Counter<u64>,
    /// Writes of ownership records to the store, by outcome.
    records: Counter<u64>,
    /// Rounds of grants and releases, by outcome.
    grants: Counter<u64>,
    /// Keyed services whose keys this process grants.
    pub leads: Gauge<u64>,
    /// Failure domains that are evacuated.
    pub evacuated: Gauge<u64>,
    /// Cold servers in slow start, whose service limits their request rate.
    pub cold: Gauge<u64>,
    /// Requests forwarded to another host, by outcome.
    forwarded: Counter<u64>,
    /// Whether this host is partitioned from all backend servers.
    pub partitioned: Gauge<u64>,
    /// Bytes of bodies that are held, by kind.
    body_bytes: Gauge<u64>,
    /// Requests sent to backend servers, by outcome.
    sends: Counter<u64>,
    /// Responses of backend servers that are not passed on, by the attempt that they name.
    foreign_responses: Counter<u64>,
    /// Changes of the rate limits that backend servers state, by whether there is one afterwards.
    rate_limits: Counter<u64>,
    /// Times that a backend server asked this host to pause.
    pub pauses: Counter<u64>,
    /// Requests for permits to send to rate-limited servers, by outcome.
    permits: Counter<u64>,
    /// Retries that were allowed or refused, by service; if refused, by reason.
    repeats: Counter<u64>,
    /// Retries left in this host's share of the retry budget, by service.
    repeats_left: Gauge<f64>,
    /// Retries lent to and borrowed from other hosts, by outcome.
    credits: Counter<u64>,
    /// Time that requests waited for their key to get an owner.
    waits: Histogram<f64>,
    /// Deferrable requests that wait for capacity, by service and rank.
    deferred_waiting: Gauge<u64>,
    /// Time that deferrable requests waited for capacity.
    deferred_seconds: Histogram<f64>,
    /// Deferrable requests that waited or were refused, by outcome.
    deferred: Counter<u64>,
    /// Time that inputs waited for the control thread, by whether they carry store state.
    control_waits: Histogram<f64>,
    /// Load reports that were dropped because too many newer ones were queued.
    pub reports_left_out: Counter<u64>,
    /// Load reports of hosts of this failure domain, by what became of them.
    load_reports: Counter<u64>,
    /// Age of the plan that this host follows, or time since it had one, by service.
    plan_age: Gauge<f64>,
    /// Share of its demand that this host may start, by service and rank.
    plan_share: Gauge<f64>,
    /// On a collector, slots of the servers in all reachable failure domains, by service.
    service_slots: Gauge<u64>,
    /// On a collector, requests in flight from the hosts of all reachable failure domains, by service.
    service_in_flight: Gauge<u64>,
    /// Records of the store that can't be parsed, by expected kind.
    unreadable: Counter<u64>,
    /// Times that the store was restored from an older copy.
    pub restores: Counter<u64>,
    /// Calls to the store, by kind and outcome.
    store_calls: Counter<u64>,
    /// Staleness of the replicated store state, by kind of state.
    known_age: Gauge<f64>,
    /// On the granting host, time since the store last confirmed its lease, by service.
    proof_age: Gauge<f64>,
    /// Keys without an owner, by service.
    unowned: Gauge<u64>,
    /// Keys without an owner, integrated over time: the total unavailability of all keys in key-seconds.
    unowned_seconds: Counter<f64>,
    /// Keys that this process moved to another owner, by service.
    moved: Counter<u64>,
    /// Requests under which servers have crashed, by whether they are quarantined.
    suspects: Gauge<u64>,
    /// Refusals of quarantined requests, by request.
    refused_for_crashes: Counter<u64>,
    /// On the granting host, requests of the busiest owner divided by the mean of all owners, by service.
    imbalance: Gauge<f64>,
}

impl Counters {
    /// Creates the instruments in a new registry.
    pub fn new() -> Arc<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a new registry has no conflicting metric");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jacinthbeam");
        let count = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.f64_gauge(name).build();
        let seconds = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(LATENCY_BUCKETS.to_vec()).build()
        };
        Arc::new(Self {
            bad_requests: count("jacinthbeam_bad_requests"),
            answers: count("jacinthbeam_answers"),
            latency: seconds("jacinthbeam_answer_seconds"),
            refusals: count("jacinthbeam_refusals"),
            records: count("jacinthbeam_records"),
            grants: count("jacinthbeam_grants"),
            leads: meter.u64_gauge("jacinthbeam_leads").build(),
            evacuated: meter.u64_gauge("jacinthbeam_evacuated_domains").build(),
            cold: meter.u64_gauge("jacinthbeam_cold_servers").build(),
            forwarded: count("jacinthbeam_forwarded"),
            partitioned: meter.u64_gauge("jacinthbeam_partitioned").build(),
            body_bytes: meter.u64_gauge("jacinthbeam_body_bytes").build(),
            sends: count("jacinthbeam_sends"),
            foreign_responses: count("jacinthbeam_foreign_responses"),
            rate_limits: count("jacinthbeam_rate_limit_changes"),
            pauses: count("jacinthbeam_pauses"),
            permits: count("jacinthbeam_permits"),
            repeats: count("jacinthbeam_repeats"),
            repeats_left: gauge("jacinthbeam_repeats_left"),
            credits: count("jacinthbeam_credits"),
            waits: seconds("jacinthbeam_wait_seconds"),
            deferred_waiting: meter.u64_gauge("jacinthbeam_deferred_waiting").build(),
            deferred_seconds: seconds("jacinthbeam_deferred_seconds"),
            deferred: count("jacinthbeam_deferred"),
            control_waits: seconds("jacinthbeam_control_wait_seconds"),
            reports_left_out: count("jacinthbeam_reports_left_out"),
            load_reports: count("jacinthbeam_load_reports"),
            plan_age: gauge("jacinthbeam_plan_age_seconds"),
            plan_share: gauge("jacinthbeam_plan_share"),
            service_slots: meter.u64_gauge("jacinthbeam_service_slots").build(),
            service_in_flight: meter.u64_gauge("jacinthbeam_service_in_flight").build(),
            unreadable: count("jacinthbeam_unreadable_records"),
            restores: count("jacinthbeam_store_restores"),
            store_calls: count("jacinthbeam_store_calls"),
            known_age: gauge("jacinthbeam_known_age_seconds"),
            proof_age: gauge("jacinthbeam_proof_age_seconds"),
            unowned: meter.u64_gauge("jacinthbeam_unowned_keys").build(),
            unowned_seconds: meter.f64_counter("jacinthbeam_unowned_key_seconds").build(),
            moved: count("jacinthbeam_moved_keys"),
            suspects: meter.u64_gauge("jacinthbeam_crash_suspects").build(),
            refused_for_crashes: count("jacinthbeam_refused_for_crashes"),
            imbalance: gauge("jacinthbeam_imbalance"),
            registry,
            _provider: provider,
        })
    }

    /// Records the bytes of request and response bodies that are held.
    pub fn on_bodies(&self, requests: usize, responses: usize) {
        for (kind, bytes) in [("request", requests), ("response", responses)] {
            self.body_bytes.record(bytes as u64, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts an answer of a backend server.
    pub fn on_answer(&self, success: bool, took: Duration) {
        self.answers.add(1, &[KeyValue::new("good", success)]);
        self.latency.record(took.as_secs_f64(), &[]);
    }

    /// Counts a request that was refused or failed without an answer of a backend server.
    pub fn on_refusal(&self, refusal: &Refusal) {
        let verdict = KeyValue::new("verdict", refusal.verdict.as_str());
        let reason = KeyValue::new("reason", format!("{:?}", refusal.reason));
        self.refusals.add(1, &[verdict, reason]);
    }

    /// Counts an attempt to send a request to a backend server.
    pub fn on_sent(&self, sent: &SendOutcome) {
        let outcome = match sent {
            SendOutcome::Answered { success: true, .. } => "answered".to_owned(),
            SendOutcome::Answered { success: false, .. } => "failed".to_owned(),
            SendOutcome::NotRun(reason) => format!("not-run:{reason:?}"),
            SendOutcome::Lost(reason) => format!("may-have-run:{reason:?}"),
        };
        self.sends.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a response of a backend server that is not the answer to its request, by the attempt that it names: `this` one, an
    /// `earlier` one on the connection, an `unknown` one, or `none`.
    pub fn on_foreign_response(&self, names: &'static str) {
        self.foreign_responses.add(1, &[KeyValue::new("names", names)]);
    }

    /// Counts a request that was forwarded to another host.
    pub fn on_forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a change of the rate limit that a backend server states.
    pub fn on_rate_limit(&self, limited: bool) {
        self.rate_limits.add(1, &[KeyValue::new("limited", limited)]);
    }

    /// Counts a request for a permit to send to a rate-limited server.
    pub fn on_permit(&self, outcome: &'static str) {
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry that was allowed, or refused for the reason `why`, and records how many are left.
    pub fn on_repeat(&self, service: &ServiceName, why: Option<&'static str>, left: f64) {
        let service = service_label(service);
        let mut labels = vec![service.clone(), KeyValue::new("allowed", why.is_none())];
        labels.extend(why.map(|why| KeyValue::new("why", why)));
        self.repeats.add(1, &labels);
        self.repeats_left.record(left, &[service]);
    }

    /// Counts retries that are lent to or borrowed from other hosts, and requests for them that are declined.
    pub fn on_credits(&self, outcome: &'static str, count: u32) {
        if count > 0 {
            self.credits.add(u64::from(count), &[KeyValue::new("outcome", outcome)]);
        }
    }

    /// Records how long a request waited for its key to get an owner.
    pub fn on_wait(&self, took: Duration) {
        self.waits.record(took.as_secs_f64(), &[]);
    }

    /// Counts a deferrable request that waited or was refused; `waited` is `None` if it was refused at once.
    pub fn on_deferred(&self, outcome: &'static str, waited: Option<Duration>) {
        self.deferred.add(1, &[KeyValue::new("outcome", outcome)]);
        if let Some(waited) = waited {
            self.deferred_seconds.record(waited.as_secs_f64(), &[]);
        }
    }

    /// Records the number of deferrable requests of a rank that wait.
    pub fn on_waiting(&self, service: &ServiceName, rank: u32, count: u32) {
        let labels = [service_label(service), KeyValue::new("rank", i64::from(rank))];
        self.deferred_waiting.record(u64::from(count), &labels);
    }

    /// Records how long an input waited for the control thread.
    pub fn on_control_wait(&self, is_store_state: bool, waited: Duration) {
        self.control_waits.record(waited.as_secs_f64(), &[KeyValue::new("news", is_store_state)]);
    }

    /// Counts a load report of a host, by what became of it.
    pub fn on_load_report(&self, outcome: &'static str) {
        self.load_reports.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the age of the plan for a service, and its share by rank.
    pub fn on_plan(
        &self,
        service: &ServiceName,
        age: Duration,
        shares: impl Iterator<Item = (u32, f32)>,
    ) {
        let service = service_label(service);
        for (rank, share) in shares {
            let rank = KeyValue::new("rank", i64::from(rank));
            self.plan_share.record(f64::from(share), &[service.clone(), rank]);
        }
        self.plan_age.record(age.as_secs_f64(), &[service]);
    }

    /// Records the slots of a service and the requests in flight, as known to a collector.
    pub fn on_capacity(&self, service: &ServiceName, slots: u32, in_flight: u32) {
        let labels = [service_label(service)];
        self.service_slots.record(u64::from(slots), &labels);
        self.service_in_flight.record(u64::from(in_flight), &labels);
    }

    /// Counts a record of the store that can't be parsed.
    pub fn on_unreadable(&self, what: &'static str) {
        self.unreadable.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a call to the store.
    pub fn on_store_call(&self, call: &Call, err: Option<&Error>) {
        let outcome = err.map_or("done", Error::kind);
        let labels = [KeyValue::new("kind", call.kind()), KeyValue::new("outcome", outcome)];
        self.store_calls.add(1, &labels);
    }

    /// Records the age of one kind of replicated store state.
    pub fn on_known(&self, what: &'static str, age: Duration) {
        self.known_age.record(age.as_secs_f64(), &[KeyValue::new("what", what)]);
    }

    /// Records how many keys of a service have no owner; `since` is the time since the last call.
    pub fn on_owners(&self, service: &ServiceName, unowned: u32, since: Duration) {
        let labels = [service_label(service)];
        self.unowned.record(u64::from(unowned), &labels);
        self.unowned_seconds.add(f64::from(unowned) * since.as_secs_f64(), &labels);
    }

    /// Records the state of the granting host for a service.
    pub fn on_leading(&self, service: &ServiceName, proof_age: Duration, imbalance: Option<f64>) {
        let labels = [service_label(service)];
        self.proof_age.record(proof_age.as_secs_f64(), &labels);
        if let Some(imbalance) = imbalance {
            self.imbalance.record(imbalance, &labels);
        }
    }

    /// Records the number of requests under which servers have crashed, and how many of them are quarantined.
    pub fn on_suspects(&self, all: usize, refused: usize) {
        self.suspects.record((all - refused) as u64, &[KeyValue::new("refused", false)]);
        self.suspects.record(refused as u64, &[KeyValue::new("refused", true)]);
    }

    /// Counts a refusal of a quarantined request. There are few such requests, so the fingerprint can be a label.
    pub fn on_refused_for_crashes(&self, request: Fingerprint) {
        self.refused_for_crashes.add(1, &[KeyValue::new("request", request.to_string())]);
    }

    /// Counts keys that an ownership record moved to another owner.
    pub fn on_moved(&self, service: &ServiceName, keys: u32) {
        self.moved.add(u64::from(keys), &[service_label(service)]);
    }

    /// Counts a write of an ownership record, by outcome.
    pub fn on_record(&self, err: Option<&Error>) {
        let outcome = match err {
            None => "kept",
            Some(Error::Conflict) => "conflict",
            Some(err) if err.may_be_done() => "unknown",
            Some(_) => "refused",
        };
        self.records.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a completed round of grants or a completed release.
    pub fn on_grant(&self, event: &Event) {
        let (kind, outcome) = match event {
            Event::Granted { outcome: Outcome::Opened(_), .. } => ("round", "Opened".to_owned()),
            Event::Granted { outcome, .. } => ("round", format!("{outcome:?}")),
            Event::Released { handover, .. } => {
                ("release", if handover.is_ok() { "Answered" } else { "Silent" }.to_owned())
            }
            _ => return,
        };
        self.grants.add(1, &[KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)]);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => String::from_utf8_lossy(&buf).into_owned(),
            Err(err) => format!("# the metrics can't be written: {err}\n"),
        }
    }
}

fn service_label(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.to_string())
}

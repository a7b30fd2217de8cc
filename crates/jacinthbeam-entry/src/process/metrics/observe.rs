//! Instruments that read the last [`Sample`] at each scrape.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

use jacinthbeam_types::prelude::*;
use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Meter},
};

use super::{Sample, ServerSample};

/// The last sample, as scrapes read it.
#[derive(Debug)]
pub struct Samples {
    last: Mutex<Sample>,
    clock: Arc<dyn Clock>,
}

/// Labels of a value.
type Labels<'a> = &'a [KeyValue];

impl Samples {
    /// No sample yet. Ages are counted by `clock` at each scrape, so a control thread that hangs shows.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { last: Mutex::default(), clock }
    }

    /// Replaces the sample.
    pub fn set(&self, sample: Sample) {
        *self.lock() = sample;
    }

    fn lock(&self) -> MutexGuard<'_, Sample> {
        self.last.lock().expect("no holder of the lock panics")
    }

    /// Makes the instruments that read the sample at each scrape.
    pub fn observe(self: &Arc<Self>, meter: &Meter) {
        self.observe_process(meter);
        self.observe_services(meter);
        self.observe_servers(meter);
    }

    fn observe_process(self: &Arc<Self>, meter: &Meter) {
        self.gauge(
            meter,
            "jacinthbeam_control_sample_age_seconds",
            "Time since the control thread last said how it is.",
            |now, sample, value| {
                sample.taken.iter().for_each(|at| value(age(now, *at), &[]));
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_config_version",
            "Version of the configuration in force; absent before the first.",
            |_, sample, value| {
                sample.config_version.iter().for_each(|version| value(version.0 as f64, &[]));
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_log_next",
            "Next record of the control stream that is not read.",
            |_, sample, value| {
                value(sample.log_next.0 as f64, &[]);
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_log_read_age_seconds",
            "Time since a read that reached the end of the control stream began.",
            |now, sample, value| {
                sample.log_read.iter().for_each(|at| value(age(now, *at), &[]));
            },
        );
        self.counter(
            meter,
            "jacinthbeam_takeovers",
            "Times that this host began to attend a backend server.",
            |sample, value| {
                value(sample.takeovers as f64, &[]);
            },
        );
        self.counter(
            meter,
            "jacinthbeam_void_records",
            "Records of the control stream that had no effect.",
            |sample, value| {
                value(sample.void_records as f64, &[]);
            },
        );
        self.counter(
            meter,
            "jacinthbeam_control_events",
            "Events that the control thread handled.",
            |sample, value| {
                value(sample.events as f64, &[]);
            },
        );
        self.counter(
            meter,
            "jacinthbeam_control_cpu_seconds",
            "Processor time of the control thread.",
            |sample, value| {
                sample.cpu.iter().for_each(|cpu| value(cpu.as_secs_f64(), &[]));
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_control_peer_bytes",
            "Bytes on the control thread's open connections to other entry hosts.",
            |_, sample, value| {
                value(sample.peer_bytes_read as f64, &[KeyValue::new("direction", "read")]);
                value(sample.peer_bytes_written as f64, &[KeyValue::new("direction", "written")]);
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_remembered_entries",
            "Remembered requests with an idempotency key.",
            |_, sample, value| {
                value(sample.remembered as f64, &[]);
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_remembered_bytes",
            "Bytes that remembered requests take.",
            |_, sample, value| {
                value(sample.remembered_bytes as f64, &[]);
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_usage_at_risk",
            "Requests counted that are not known to stand in the log.",
            |_, sample, value| {
                value(sample.usage_at_risk as f64, &[]);
            },
        );
    }

    fn observe_services(self: &Arc<Self>, meter: &Meter) {
        self.gauge(
            meter,
            "jacinthbeam_slots_without_owner",
            "Slots that no backend server owns.",
            |_, sample, value| {
                for (service, of) in &sample.services {
                    value(of.without_owner as f64, &[label(service)]);
                }
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_slots_unserved",
            "Slots of backend servers that this host should attend and holds no lease for.",
            |_, sample, value| {
                for (service, of) in &sample.services {
                    value(of.unserved as f64, &[label(service)]);
                }
            },
        );
        self.counter(
            meter,
            "jacinthbeam_unavailable_slot_seconds",
            "Seconds that slots were unserved here, added up over slots.",
            |sample, value| {
                for (service, of) in &sample.services {
                    value(of.unavailable_seconds, &[label(service)]);
                }
            },
        );
        self.counter(
            meter,
            "jacinthbeam_owner_changes",
            "Slots that got another owner, by the kind of record that did it.",
            |sample, value| {
                for (service, of) in &sample.services {
                    for (how, slots) in &of.owner_changes {
                        value(*slots as f64, &[label(service), KeyValue::new("how", how.clone())]);
                    }
                }
            },
        );
    }

    fn observe_servers(self: &Arc<Self>, meter: &Meter) {
        self.gauge(
            meter,
            "jacinthbeam_servers_attended",
            "Backend servers that this host attends.",
            |_, sample, value| {
                for service in sample.services.keys() {
                    value(attended(sample, service).count() as f64, &[label(service)]);
                }
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_slots_attended",
            "Slots owned by backend servers that this host attends.",
            |_, sample, value| {
                for service in sample.services.keys() {
                    let slots: usize = attended(sample, service).map(|server| server.slots).sum();
                    value(slots as f64, &[label(service)]);
                }
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_lease_left_seconds",
            "Time until the lease of an attended backend server ends.",
            |now, sample, value| {
                for (id, server) in &sample.servers {
                    let left = server.lease_until.map(|until| until.saturating_duration_since(now));
                    value(left.unwrap_or_default().as_secs_f64(), &labels(id, server));
                }
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_server_in_use",
            "Requests that run, or may run, at an attended backend server.",
            |_, sample, value| {
                for (id, server) in &sample.servers {
                    value(f64::from(server.in_use), &labels(id, server));
                }
            },
        );
        self.gauge(
            meter,
            "jacinthbeam_server_waiting",
            "Requests that wait for an attended backend server.",
            |_, sample, value| {
                for (id, server) in &sample.servers {
                    value(server.waiting as f64, &labels(id, server));
                }
            },
        );
        self.counter(
            meter,
            "jacinthbeam_server_requests",
            "Requests that got a place at an attended backend server since this host attends it.",
            |sample, value| {
                for (id, server) in &sample.servers {
                    value(server.admitted as f64, &labels(id, server));
                }
            },
        );
    }

    fn gauge(
        self: &Arc<Self>,
        meter: &Meter,
        name: &'static str,
        description: &'static str,
        read: impl Fn(Instant, &Sample, &mut dyn FnMut(f64, Labels<'_>)) + Send + Sync + 'static,
    ) {
        let samples = self.clone();
        let callback = move |observer: &dyn AsyncInstrument<f64>| {
            let now = samples.clock.now();
            read(now, &samples.lock(), &mut |value, labels| observer.observe(value, labels));
        };
        // The provider keeps what is observed; the handle has no use.
        let _ = meter
            .f64_observable_gauge(name)
            .with_description(description)
            .with_callback(callback)
            .build();
    }

    fn counter(
        self: &Arc<Self>,
        meter: &Meter,
        name: &'static str,
        description: &'static str,
        read: impl Fn(&Sample, &mut dyn FnMut(f64, Labels<'_>)) + Send + Sync + 'static,
    ) {
        let samples = self.clone();
        let callback = move |observer: &dyn AsyncInstrument<f64>| {
            read(&samples.lock(), &mut |value, labels| observer.observe(value, labels));
        };
        let _ = meter
            .f64_observable_counter(name)
            .with_description(description)
            .with_callback(callback)
            .build();
    }
}

fn attended<'a>(
    sample: &'a Sample,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a ServerSample> {
    sample.servers.values().filter(move |server| server.service == *service)
}

fn age(now: Instant, at: Instant) -> f64 {
    now.saturating_duration_since(at).as_secs_f64()
}

fn label(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.to_string())
}

fn labels(id: &ServerId, server: &ServerSample) -> [KeyValue; 2] {
    [label(&server.service), KeyValue::new("server", id.to_string())]
}

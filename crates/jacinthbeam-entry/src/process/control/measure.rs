//! What the control thread counts, and says about itself every second.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use jacinthbeam_state::{Change, How};
use jacinthbeam_types::prelude::*;

use super::Control;
use crate::process::metrics::{Sample, ServerSample, ServiceSample};

/// Time between two samples.
const EVERY: Duration = Duration::from_secs(1);
/// Processor time of the calling thread: nanoseconds, as the first of three numbers.
const THREAD_TIME: &str = "/proc/thread-self/schedstat";

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counts {
    /// Events handled.
    pub events: u64,
    /// Times that this host began to attend a backend server.
    pub takeovers: u64,
    /// Records without effect.
    pub void_records: u64,
    owner_changes: BTreeMap<ServiceName, BTreeMap<String, u64>>,
    unavailable: BTreeMap<ServiceName, f64>,
    sampled: Option<Instant>,
}

impl Counts {
    /// Counts the slots that a record of the control stream gave to another owner, or took away.
    pub fn note(&mut self, change: &Change) {
        let Change::Slots { service, slots, from, to, how } = change else { return };
        // A new epoch for the same owner changes nothing for callers.
        if from == to || *how == How::Reassigned {
            return;
        }
        let of_service = self.owner_changes.entry(service.clone()).or_default();
        *of_service.entry(how.to_string()).or_default() += slots.len() as u64;
    }
}

impl Control {
    /// Leaves a sample for scrapes when it is due.
    pub(super) fn sample(&mut self, now: Instant) {
        let since = self.counts.sampled.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < EVERY) {
            return;
        }
        self.counts.sampled = Some(now);
        let services = self.sample_services(now, since.unwrap_or_default());
        let peers = self.peers.dump();
        let (remembered, remembered_bytes) = self.traffic.memory.size();
        let sample = Sample {
            taken: Some(now),
            config_version: self.state.config.version(),
            log_next: self.state.next,
            log_read: self.proofs.log(&self.state),
            services,
            servers: self.sample_servers(now),
            takeovers: self.counts.takeovers,
            void_records: self.counts.void_records,
            events: self.counts.events,
            cpu: thread_time(),
            peer_bytes_read: peers.iter().map(|peer| peer.bytes_read).sum(),
            peer_bytes_written: peers.iter().map(|peer| peer.bytes_written).sum(),
            remembered,
            remembered_bytes: remembered_bytes.0,
            usage_at_risk: self.traffic.usage.at_risk(),
        };
        self.traffic.metrics.sampled(sample);
    }

    fn sample_services(
        &mut self,
        now: Instant,
        since: Duration,
    ) -> BTreeMap<ServiceName, ServiceSample> {
        let mut services = BTreeMap::new();
        for name in self.state.config().services.keys() {
            let division = self.state.services.get(name);
            let unserved = self.unserved(now, name);
            let unavailable = self.counts.unavailable.entry(name.clone()).or_default();
            *unavailable += unserved as f64 * since.as_secs_f64();
            let sample = ServiceSample {
                without_owner: division.map_or(0, |division| division.len() - division.owned()),
                unserved,
                unavailable_seconds: *unavailable,
                owner_changes: self.counts.owner_changes.get(name).cloned().unwrap_or_default(),
            };
            services.insert(name.clone(), sample);
        }
        services
    }

    /// Slots of backend servers that this host should attend, and can't send to at present.
    fn unserved(&self, now: Instant, service: &ServiceName) -> usize {
        let of_service = self.tended.iter().filter(|(_, tended)| tended.service == *service);
        let mine =
            of_service.filter(|(id, _)| self.members.attendant_of(now, id) == Some(&self.me.host));
        let slots =
            |id: &ServerId| self.state.servers.get(id).map_or(0, |server| server.slots().len());
        mine.map(|(id, tended)| {
            let attended = tended.attended.as_ref().filter(|_| tended.open);
            let served = attended.map_or(0, |attended| attended.served(now));
            slots(id).saturating_sub(served)
        })
        .sum()
    }

    fn sample_servers(&self, now: Instant) -> BTreeMap<ServerId, ServerSample> {
        let open = self.tended.iter().filter(|(_, tended)| tended.open);
        let open = open.filter_map(|(id, tended)| Some((id, tended, tended.attended.as_ref()?)));
        let sample = |(id, tended, attended): (
            &ServerId,
            &super::attend::Tended,
            &std::sync::Arc<crate::version::Attended>,
        )| {
            let counts = attended.snapshot();
            let left = counts.permit_left_ms.map(Duration::from_millis);
            let sample = ServerSample {
                service: tended.service.clone(),
                slots: self.state.servers.get(id).map_or(0, |server| server.slots().len()),
                lease_until: left.map(|left| now + left),
                in_use: counts.in_use,
                waiting: counts.waiting,
                admitted: counts.admitted,
            };
            (id.clone(), sample)
        };
        open.map(sample).collect()
    }
}

/// Processor time of the calling thread; `None` where the system does not tell.
fn thread_time() -> Option<Duration> {
    let text = fs::read_to_string(THREAD_TIME).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}

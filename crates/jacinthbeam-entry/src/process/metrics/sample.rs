//! What the control thread says about itself every second.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// State of the process at one time, and counts since its start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sample {
    /// When it was taken; `None` if the control thread has not said anything yet.
    pub taken: Option<Instant>,
    /// Configuration in force.
    pub config_version: Option<ConfigVersion>,
    /// Next record of the control stream that is not read.
    pub log_next: Offset,
    /// Start of the last read that reached the end of the control stream.
    pub log_read: Option<Instant>,
    /// Configured services.
    pub services: BTreeMap<ServiceName, ServiceSample>,
    /// Backend servers that this host attends.
    pub servers: BTreeMap<ServerId, ServerSample>,
    /// Times that this host began to attend a backend server.
    pub takeovers: u64,
    /// Records of the control stream that had no effect.
    pub void_records: u64,
    /// Events that the control thread handled.
    pub events: u64,
    /// Processor time of the control thread; `None` where the system does not tell.
    pub cpu: Option<Duration>,
    /// Bytes read from other entry hosts by the control thread's open connections.
    pub peer_bytes_read: u64,
    /// Bytes written to them.
    pub peer_bytes_written: u64,
    /// Remembered requests with an idempotency key.
    pub remembered: usize,
    /// Bytes that they take.
    pub remembered_bytes: u64,
    /// Requests counted that are not known to stand in the log.
    pub usage_at_risk: u64,
}

/// A configured service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceSample {
    /// Slots that no backend server owns. The same on all hosts that have read as far.
    pub without_owner: usize,
    /// Slots of backend servers that this host should attend and holds no lease for.
    pub unserved: usize,
    /// Seconds that slots were unserved here, added up over slots.
    pub unavailable_seconds: f64,
    /// Slots that got another owner, by the kind of record that did it.
    pub owner_changes: BTreeMap<String, u64>,
}

/// An attended backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSample {
    /// Its service.
    pub service: ServiceName,
    /// Slots that it owns.
    pub slots: usize,
    /// When the permit to send to it ends; `None` if there is none.
    pub lease_until: Option<Instant>,
    /// Requests that run, or may run.
    pub in_use: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that got a place since this host attends it.
    pub admitted: u64,
}

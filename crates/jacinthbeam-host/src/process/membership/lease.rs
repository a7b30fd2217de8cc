//! The lease on a host's duties. No I/O.

use std::time::{Duration, Instant};

/// Time without a join after which the store assigns a host's duties to another host.
pub const LEASE: Duration = Duration::from_millis(1500);

/// The lease on the duties of one host, as the host can compute it.
///
/// A host that the store refuses doesn't learn that its duties were reassigned. Without a lease of its own it would claim leadership from the
/// new host as soon as it reached the store again, and that one would claim it back. Each claim begins with a round of grants to every server, and
/// a third of all lookups were refused from then on.
#[derive(Debug, Clone, Copy, Default)]
pub struct DutyLease {
    /// No other host is assigned the duties before this time; `None` if there is no lease.
    until: Option<Instant>,
}

impl DutyLease {
    /// The store has answered a join that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Instant) {
        self.until = Some(sent_at + LEASE);
    }

    /// Ends the lease if it has expired. Returns true only once per lease.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.until.take_if(|until| now >= *until).is_some()
    }
}

//! For how long a host may count on its duties. No I/O.

use std::time::{Duration, Instant};

/// Without a word of a host for this long its duties go to another.
pub const LEASE: Duration = Duration::from_millis(1500);

/// The lease on the duties of one host, as far as the host can know.
///
/// A host that the store turns away hears of no other deal. Its lease has run out, another host has the duty, and with the first word from
/// the store it would claim the keys of that one, which claims them back: each of the two begins with a round of grants to every server, and
/// in plays of such days a third of all lookups were refused from then on.
#[derive(Debug, Clone, Copy, Default)]
pub struct DutyLease {
    /// Until then nobody else has been dealt the duties. `None` if there is none to lose.
    until: Option<Instant>,
}

impl DutyLease {
    /// The store has answered a word that was sent at `asked`.
    pub fn renew(&mut self, asked: Instant) {
        self.until = Some(asked + LEASE);
    }

    /// Whether the lease has run out since the last call. Told once.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.until.take_if(|until| now >= *until).is_some()
    }
}

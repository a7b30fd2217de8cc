//! The requests that this host serves for hosts that reach no backend server.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use jacinthbeam_types::prelude::*;

/// Forwarded requests in flight for a whole processor. The callers of this host need the rest of it.
const MAX_IN_FLIGHT_PER_CORE: u32 = 1000;

/// Time for which a host counts as an origin after its last request.
const ORIGIN_TTL: Duration = Duration::from_secs(2);

/// Requests in flight for other hosts, and these hosts.
#[derive(Debug, Default)]
pub struct Helping {
    in_flight: Rc<Cell<u32>>,
    origins: RefCell<BTreeMap<HostId, Instant>>,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Rc<Cell<u32>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Helping {
    /// Counts a request as in flight until the result is dropped.
    pub fn begin(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.in_flight.clone())
    }

    /// Whether a host with this share of a processor can serve another request.
    pub fn has_room(&self, processor: Millicores) -> bool {
        let most = MAX_IN_FLIGHT_PER_CORE * processor.0 / Millicores::CORE.0;
        self.in_flight.get() <= most
    }

    /// Records a request of a host.
    pub fn on_origin(&self, origin: &HostId, now: Instant) {
        let mut origins = self.origins.borrow_mut();
        origins.retain(|_, at| now.saturating_duration_since(*at) < ORIGIN_TTL);
        origins.insert(origin.clone(), now);
    }

    /// Number of hosts that forwarded requests lately.
    pub fn origins(&self, now: Instant) -> u32 {
        let origins = self.origins.borrow();
        let recent = origins.values().filter(|at| now.saturating_duration_since(**at) < ORIGIN_TTL);
        recent.count() as u32
    }
}

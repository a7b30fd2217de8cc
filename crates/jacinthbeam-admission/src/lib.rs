//! Admission of requests to services without keys that serve routes of different urgency.
//!
//! Each host counts the requests of a service by rank and reports the counts to the collectors of its failure domain. A collector adds up
//! the load of the fleet and computes a [`Plan`], which says how much of the deferrable work may be started. Hosts hold back the rest in a
//! queue until there is capacity, or refuse it if it can't be served in time.
//!
//! There is no I/O, and callers pass in the time. Which server gets an admitted request is decided in `jacinthbeam-dispatch`.

pub mod classes;
pub mod collect;
pub mod fleet;
pub mod plan;
pub mod queue;
pub mod received;
pub mod report;
pub mod sequence;
pub mod service;
pub mod throttle;

pub use classes::Classes;
pub use collect::Collector;
pub use fleet::FleetLoads;
pub use plan::Plan;
pub use queue::{WaitMemory, WaitQueue};
pub use received::Received;
pub use report::HostReport;
pub use service::ServiceAdmission;

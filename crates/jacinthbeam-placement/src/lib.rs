//! Decides which backend server should own which slot, and which hot keys get a slot of their own.
//!
//! Everything here is pure: loads, time and randomness are handed in, decisions come out. Each
//! entry host decides alone, for the backend servers it attends, from a bounded and possibly stale
//! sample of the loads of others, so the cost of a decision does not grow with the fleet. Carrying
//! a decision out (draining, records, grants) is the job of the lease crate. `docs/PLACEMENT.md`
//! tells what was weighed.

pub mod accept;
pub mod convert;
mod draft;
pub mod evict;
pub mod found;
pub mod hot;
pub mod join;
pub mod planned;
pub mod policy;
pub mod progress;
pub mod rebalance;
pub mod sample;
pub mod view;

pub use evict::evict_targets;
pub use found::found;
pub use join::joined;
pub use planned::{PlannedMove, Why};
pub use policy::Policy;
pub use progress::Progress;
pub use rebalance::rebalance;
pub use view::View;

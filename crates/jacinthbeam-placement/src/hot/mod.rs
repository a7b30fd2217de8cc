//! Hot keys: a key that needs much of a server's capacity gets a slot of its own, so that it can
//! move without the other keys of its slot, and they without it.

mod plan;
mod sketch;

pub use plan::{Action, Cooling, Keys, Options, Owned, Split, plan};
pub use sketch::{Heavy, Sketch};

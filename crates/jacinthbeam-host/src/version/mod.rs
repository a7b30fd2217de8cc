//! What requests are decided by at one moment.

mod view;

pub use view::{KnownTo, Leaving, View};

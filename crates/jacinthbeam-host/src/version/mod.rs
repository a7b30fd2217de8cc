//! What requests are decided by at one moment.

mod view;

pub use view::{ColdServer, Freshness, Grace, Leaving, View};

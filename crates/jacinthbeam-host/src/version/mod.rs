//! The routing state that a request is decided by at one moment.

mod view;

pub use view::{ColdServer, Freshness, Grace, Leaving, View};

//! A router for servers that own keys exclusively, offered as one library.
//!
//! Each re-exported crate owns one concern; `docs/ARCHITECTURE.md` tells which.

pub use jacinthbeam_admission as admission;
pub use jacinthbeam_config as config;
pub use jacinthbeam_entry as entry;
pub use jacinthbeam_lease as lease;
pub use jacinthbeam_native as platform;
pub use jacinthbeam_peer as peer;
pub use jacinthbeam_placement as placement;
pub use jacinthbeam_state as state;
pub use jacinthbeam_types as types;

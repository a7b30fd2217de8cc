//! A router for servers that own keys exclusively, offered as one library.
//!
//! Each re-exported crate owns one concern; `docs/ARCHITECTURE.md` tells which.

pub use jacinthbeam_admission as admission;
pub use jacinthbeam_config as config;
pub use jacinthbeam_crash as crash;
pub use jacinthbeam_dispatch as dispatch;
pub use jacinthbeam_host as host;
pub use jacinthbeam_native as native;
pub use jacinthbeam_range as range;
pub use jacinthbeam_route as route;
pub use jacinthbeam_store as store;
pub use jacinthbeam_types as types;

//! What is said on the wire to the platform and to backend servers. `docs/NATIVE.md` shows it by example.

pub mod backend;
pub mod hosts;
pub mod log;

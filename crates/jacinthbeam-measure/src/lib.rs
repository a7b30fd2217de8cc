//! Placeholder until the crate's first module lands.

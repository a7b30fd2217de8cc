//! Configuration: its format, how files of a folder merge, and what becomes of changes to them.
//!
//! Everything but [`folder`] and [`publish::synced`] is pure. Which configuration is in force is decided by [`fold::State`]; how
//! it gets into the store is up to whoever publishes. What the files say is a [`jacinthbeam_route::Config`].
//! `docs/CONFIGURATION.md` tells operators the format.

pub mod change;
pub mod check;
pub mod document;
pub mod file;
pub mod fold;
pub mod folder;
pub mod merge;
pub mod problem;
pub mod publish;

pub use file::{ContentHash, FileName};
pub use problem::Problem;

//! Configuration: its format, how files of a folder merge, and what the log makes of changes to them.
//!
//! Everything but [`folder`] and [`publish::synced`] is pure. Which configuration is in force is
//! decided by [`fold::State`], a pure function of the records in the control stream; this crate
//! knows the changes in these records but neither the log nor the envelope around them.
//! `docs/CONFIGURATION.md` tells operators the format and the settings.

pub mod change;
pub mod check;
pub mod config;
pub mod document;
pub mod file;
pub mod fold;
pub mod folder;
pub mod merge;
pub mod problem;
pub mod publish;
pub mod settings;

pub use config::{Balance, Config, CutOff, Division, HotKey, Lost, Policy, Service, Weights};
pub use file::{ContentHash, FileName};
pub use problem::Problem;
pub use settings::Settings;

//! Deployments of real entry hosts and stand-ins on loopback, and experiments on them.
//!
//! Nothing here models a cluster: entry hosts are the library that the daemon runs, the platform is the stand-ins, and
//! everything speaks TCP. What is judged is read from the stand-ins' own records and from the callers' notes.

pub mod balance;
pub mod capacity;
pub mod client;
pub mod deployment;
pub mod experiment;
pub mod fault;
pub mod judge;
pub mod load;
pub mod overhead;
pub mod overload;
pub mod owners;
pub mod preset;
pub mod process;
pub mod publish;
pub mod report;
mod statistic;

pub use deployment::{Deployment, Plan};
pub use preset::Preset;
pub use report::Report;

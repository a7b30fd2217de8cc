//! A whole deployment on loopback, load on it, faults in it, and a judgement of what was promised.
//!
//! [`deployment`] starts a store, backend servers and hosts; [`load`] asks for keys at a steady rate; [`fault`] takes something
//! away and brings it back; [`judge`] compares what callers were told with what backend servers ran; [`experiment`] runs all of
//! them and [`report`] prints what came of it, with what hosts [`cost`].
//! Hosts run the real code, in this process or as processes of their own.

pub mod cost;
pub mod deployment;
pub mod experiment;
pub mod fault;
pub mod judge;
pub mod load;
pub mod report;

pub use cost::{Cost, Spent};
pub use deployment::{Deployment, Plan};
pub use experiment::{Options, run};
pub use fault::Fault;
pub use report::Report;

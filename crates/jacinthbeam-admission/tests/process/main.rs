//! Tests of what lives as long as the process.

mod budget;
mod duplicate;
mod fair;
mod server;
mod usage;

use std::time::{Duration, Instant};

use jacinthbeam_types::prelude::*;

/// Runs a property on the same random inputs in every run.
fn check(
    property: impl Fn(&mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()>,
) {
    const RUNS: u64 = 300;
    const SIZE: u64 = 4_096;
    for run in 1..=RUNS {
        arbtest::arbtest(&property).seed(run << 32 | SIZE);
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn team(name: &str) -> TeamName {
    name.parse().expect("test names are valid")
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("test names are valid")
}

fn request(sequence: u64) -> RequestId {
    RequestId { incarnation: Incarnation(7), sequence }
}

/// Some start of time.
fn start() -> Instant {
    Instant::now()
}

//! The durations that the protocol runs on.

use std::{fmt, time::Duration};

/// Largest accepted clock rate error. Beyond it a clock is broken rather than inexact.
pub const MAX_RHO: f64 = 0.05;

/// Durations of the protocol. All hosts of a deployment must use the same.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// Length of a lease, counted from the proof that it rests on. Default 1.2 s.
    pub lease: Duration,
    /// Time between two renewals. Default 250 ms.
    pub renew_every: Duration,
    /// Time between two heartbeats. Default 200 ms.
    pub heartbeat_every: Duration,
    /// An entry host is alive if it was heard from within this time. Default 800 ms.
    pub alive_within: Duration,
    /// A backend server without a reply for this long is probed by all hosts. Default 600 ms.
    pub silent_after: Duration,
    /// A probe without an answer for this long has failed. Default 200 ms.
    pub probe_timeout: Duration,
    /// Bound on the rate error of any clock against true time. Default 1/1000.
    pub rho: f64,
    /// Added to every wait for a lease's end. Default 20 ms.
    pub margin: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1200),
            renew_every: Duration::from_millis(250),
            heartbeat_every: Duration::from_millis(200),
            alive_within: Duration::from_millis(800),
            silent_after: Duration::from_millis(600),
            probe_timeout: Duration::from_millis(200),
            rho: 0.001,
            margin: Duration::from_millis(20),
        }
    }
}

/// Why a timing can't work.
#[derive(Debug, Clone, PartialEq)]
pub enum Error {
    /// A duration is zero.
    Zero(&'static str),
    /// A duration must be shorter than another.
    NotShorter {
        /// The one that is too long.
        shorter: &'static str,
        /// The one that must be longer.
        longer: &'static str,
    },
    /// The clock rate error is negative, not a number or above [`MAX_RHO`].
    Rho(f64),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zero(name) => write!(f, "`{name}` must be longer than 0"),
            Self::NotShorter { shorter, longer } => {
                write!(f, "{shorter} must be shorter than `{longer}`")
            }
            Self::Rho(rho) => write!(f, "`rho` must lie between 0 and {MAX_RHO}, not {rho}"),
        }
    }
}

impl std::error::Error for Error {}

impl Timing {
    /// Whether these durations can work together.
    pub fn check(&self) -> Result<(), Error> {
        let named = [
            ("lease", self.lease),
            ("renew_every", self.renew_every),
            ("heartbeat_every", self.heartbeat_every),
            ("alive_within", self.alive_within),
            ("silent_after", self.silent_after),
            ("probe_timeout", self.probe_timeout),
        ];
        if let Some((name, _)) = named.iter().find(|(_, duration)| duration.is_zero()) {
            return Err(Error::Zero(name));
        }
        shorter("two `renew_every`", self.renew_every * 2, "lease", self.lease)?;
        shorter(
            "two `heartbeat_every`",
            self.heartbeat_every * 2,
            "alive_within",
            self.alive_within,
        )?;
        shorter("two `renew_every`", self.renew_every * 2, "silent_after", self.silent_after)?;
        shorter("`probe_timeout`", self.probe_timeout, "silent_after", self.silent_after)?;
        if !(0.0..=MAX_RHO).contains(&self.rho) {
            return Err(Error::Rho(self.rho));
        }
        Ok(())
    }

    /// How long to wait, on any clock, until a lease that rests on an earlier proof has ended on every other
    /// clock.
    pub fn lease_over(&self) -> Duration {
        self.lease + self.drift(self.lease) + self.margin
    }

    /// The part of a duration that has surely not passed on one clock before all of it has passed on another.
    pub fn shrink(&self, duration: Duration) -> Duration {
        duration.saturating_sub(self.drift(duration))
    }

    /// How far two clocks may drift apart within a duration: each is off by up to `rho`.
    fn drift(&self, duration: Duration) -> Duration {
        duration.mul_f64(2.0 * self.rho)
    }
}

fn shorter(
    shorter: &'static str,
    value: Duration,
    longer: &'static str,
    bound: Duration,
) -> Result<(), Error> {
    if value < bound { Ok(()) } else { Err(Error::NotShorter { shorter, longer }) }
}

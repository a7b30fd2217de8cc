//! What hosts cost, as the system counts it for each process.

use std::{
    fmt,
    ops::{AddAssign, Sub},
    time::Duration,
};

use procfs::{ProcError, process::Process};

/// Processor time and memory of one host, or of several together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cost {
    /// Processor time since the start, in user code and in the kernel. Counted in steps of 10 ms.
    pub processor: Duration,
    /// Bytes of memory at the peak; of several hosts, the most that one of them took.
    pub peak: u64,
}

impl Cost {
    /// What the process with this id took so far.
    pub fn of(id: u32) -> Result<Self, ProcError> {
        let process = Process::new(id as i32)?;
        let stat = process.stat()?;
        let ticks = stat.utime + stat.stime;
        let processor = Duration::from_secs(ticks) / procfs::ticks_per_second() as u32;
        let peak =
            process.status()?.vmhwm.ok_or_else(|| ProcError::Other("no peak of memory".into()))?
                << 10;
        Ok(Self { processor, peak })
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        self.processor += other.processor;
        self.peak = self.peak.max(other.peak);
    }
}

impl Sub for Cost {
    type Output = Self;

    /// What was spent since `before`. The peak stays as it is.
    fn sub(self, before: Self) -> Self {
        Self { processor: self.processor.saturating_sub(before.processor), ..self }
    }
}

/// What the hosts of a deployment spent on some requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spent {
    /// Processor time of all hosts, and the most memory of one.
    pub cost: Cost,
    /// Requests that were sent meanwhile.
    pub requests: usize,
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.cost.processor.as_micros() / self.requests.max(1) as u128;
        let peak = self.cost.peak as f64 / 1e6;
        write!(
            f,
            "undisturbed, all hosts took {micros} us of processor time a request, one host {peak:.1} MB of memory"
        )
    }
}

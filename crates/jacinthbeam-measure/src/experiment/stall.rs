//! How much the machine itself delayed the experiment.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Time that the watching thread sleeps between two looks.
const EVERY: Duration = Duration::from_millis(10);
/// Delays above this are counted.
const LONG: Duration = Duration::from_millis(100);

/// Delays of a thread that only sleeps. On an idle machine they are well below a millisecond.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Stalls {
    /// Longest delay in milliseconds.
    pub longest_ms: u64,
    /// Delays of more than 100 ms.
    pub long: u64,
}

/// A thread that sleeps and looks at the time.
#[derive(Debug)]
pub(super) struct Watch {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Stalls>,
}

impl Watch {
    pub(super) fn spawn() -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        Self { stop, thread: thread::spawn(move || watch(&stopped)) }
    }

    pub(super) fn stop(self) -> Stalls {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn watch(stop: &AtomicBool) -> Stalls {
    let mut stalls = Stalls::default();
    while !stop.load(Ordering::Relaxed) {
        let asleep = Instant::now();
        thread::sleep(EVERY);
        let late = asleep.elapsed().saturating_sub(EVERY);
        stalls.longest_ms = stalls.longest_ms.max(late.as_millis() as u64);
        stalls.long += u64::from(late > LONG);
    }
    stalls
}

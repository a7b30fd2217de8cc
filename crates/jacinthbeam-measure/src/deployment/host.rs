//! One host: threads of this process, or a process of its own that gets signals.

use std::process::Child;

use jacinthbeam::host::{self, Settings};
use rustix::process::{Pid, Signal, kill_process};

use crate::Cost;

/// How a host runs.
#[derive(Debug)]
pub(super) enum Running {
    Threads(Box<host::Handle>),
    Process(Child),
    Ended,
}

/// One host.
#[derive(Debug)]
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    pub(super) running: Running,
}

impl Host {
    /// Asks it to stop, as a platform does.
    pub fn tell_to_stop(&mut self) {
        match &self.running {
            Running::Threads(handle) => handle.stop(),
            Running::Process(child) => signal(child, Signal::TERM),
            Running::Ended => {}
        }
    }

    /// Ends it without a word. Only a process can end like that; threads are told to stop.
    pub async fn kill(&mut self) {
        if let Running::Process(child) = &self.running {
            signal(child, Signal::KILL);
        } else {
            self.tell_to_stop();
        }
        self.join().await;
    }

    /// What it took so far. `None` if it is no process of its own, or has ended.
    pub fn cost(&self) -> Option<Cost> {
        let Running::Process(child) = &self.running else { return None };
        Cost::of(child.id())
            .inspect_err(|err| eprintln!("cost of {} is not known: {err}", self.settings.host))
            .ok()
    }

    /// Makes a process stand still, or go on.
    pub fn freeze(&mut self, frozen: bool) {
        if let Running::Process(child) = &self.running {
            signal(child, if frozen { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Waits for its end.
    pub async fn join(&mut self) {
        let ended = match std::mem::replace(&mut self.running, Running::Ended) {
            Running::Threads(handle) => tokio::task::spawn_blocking(|| handle.join()).await,
            Running::Process(mut child) => {
                tokio::task::spawn_blocking(move || drop(child.wait())).await
            }
            Running::Ended => Ok(()),
        };
        if let Err(err) = ended {
            eprintln!("{} can't be waited for: {err}", self.settings.host);
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        match &mut self.running {
            Running::Threads(handle) => handle.stop(),
            Running::Process(child) => {
                signal(child, Signal::KILL);
                // Its id must not stay taken for as long as this process lives.
                let _ = child.wait();
            }
            Running::Ended => {}
        }
    }
}

/// Sends a signal to a process that this one started and has not waited for, so that the id is still its own.
fn signal(child: &Child, signal: Signal) {
    let pid = Pid::from_raw(child.id() as i32).expect("the id of a process is above 0");
    if let Err(err) = kill_process(pid, signal) {
        eprintln!("process {} gets no signal: {err}", child.id());
    }
}

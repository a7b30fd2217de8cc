//! A process that stands still and later goes on as if nothing had happened.

use std::{
    future::{Future, poll_fn},
    pin::Pin,
    sync::{Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

/// Stops and resumes the work and the sockets of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct Freeze(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    parked: usize,
    work: Vec<Waker>,
    sockets: Vec<Waker>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum Phase {
    #[default]
    Running,
    /// Work goes on, sockets not yet.
    ///
    /// A process that was frozen resumes in the middle of its requests and learns only later that
    /// callers have closed their connections. If sockets were read first, each such request would
    /// be cancelled, and the dangerous case, an effect after a long pause, would never be seen.
    Thawing,
    Frozen,
}

impl Freeze {
    /// Stands still from now on.
    pub(crate) fn freeze(&self) {
        self.lock().phase = Phase::Frozen;
    }

    /// Goes on: first the work, then the sockets.
    pub(crate) fn unfreeze(&self) {
        let mut state = self.lock();
        if state.phase != Phase::Frozen {
            return;
        }
        state.phase = Phase::Thawing;
        state.work.drain(..).for_each(Waker::wake);
        state.finish_thaw();
    }

    /// Whether sockets may be used; else wakes the task when they may.
    pub(crate) fn poll_sockets(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.phase == Phase::Running {
            return Poll::Ready(());
        }
        state.sockets.push(cx.waker().clone());
        Poll::Pending
    }

    /// Waits until sockets may be used.
    pub(crate) async fn sockets(&self) {
        poll_fn(|cx| self.poll_sockets(cx)).await;
    }

    /// Waits until work may go on.
    pub(crate) fn work(&self) -> Work<'_> {
        Work { freeze: self, parked: false }
    }

    /// Number of waits of [`Self::work`] that have begun and not ended.
    pub(crate) fn parked(&self) -> usize {
        self.lock().parked
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn finish_thaw(&mut self) {
        if self.phase == Phase::Thawing && self.parked == 0 {
            self.phase = Phase::Running;
            self.sockets.drain(..).for_each(Waker::wake);
        }
    }
}

/// Ends when work may go on. What follows in the same poll comes before any socket is read again.
#[derive(Debug)]
pub(crate) struct Work<'a> {
    freeze: &'a Freeze,
    parked: bool,
}

impl Work<'_> {
    fn unpark(&mut self, state: &mut State) {
        if self.parked {
            self.parked = false;
            state.parked -= 1;
            state.finish_thaw();
        }
    }
}

impl Future for Work<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.freeze.lock();
        if state.phase != Phase::Frozen {
            self.unpark(&mut state);
            return Poll::Ready(());
        }
        if !self.parked {
            self.parked = true;
            state.parked += 1;
        }
        state.work.push(cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        let freeze = self.freeze;
        self.unpark(&mut freeze.lock());
    }
}

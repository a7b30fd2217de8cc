//! Control of a running backend server.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use jacinthbeam_native::format::backend::GrantState;
use jacinthbeam_types::prelude::*;

use super::{
    holding::Holding,
    run::{Run, Summary},
    serve,
    state::Shared,
};
use crate::net::Listener;

/// A running backend server. Dropping it closes it.
#[derive(Debug)]
pub struct Handle {
    shared: Arc<Shared>,
    listener: Listener,
}

impl Handle {
    pub(super) fn new(shared: Arc<Shared>, listener: Listener) -> Self {
        Self { shared, listener }
    }

    /// Name of the server.
    pub fn id(&self) -> &ServerId {
        &self.shared.options.server
    }

    /// Service that it serves.
    pub fn service(&self) -> &ServiceName {
        &self.shared.options.service
    }

    /// The first address.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// The listener of the first address.
    pub fn listener(&self) -> &Listener {
        &self.listener
    }

    /// Serves on one more address.
    pub fn listen(&self, addr: SocketAddr) -> io::Result<Listener> {
        serve::listen(&self.shared, addr)
    }

    /// What `GET /grant` would answer now.
    pub fn grant_state(&self) -> GrantState {
        self.shared.grant_state(&self.shared.lock())
    }

    /// The runs that have ended, oldest first; at most the last million.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.list.iter().cloned().collect()
    }

    /// The times during which the server held its slots, oldest first; at most the last hundred thousand.
    pub fn holdings(&self) -> Vec<Holding> {
        self.shared.lock().holdings.list()
    }

    /// Counts since the stand-in was spawned.
    pub fn summary(&self) -> Summary {
        self.shared.summary()
    }

    /// Stands still: answers nothing, runs nothing; its clock goes on.
    pub fn freeze(&self) {
        self.shared.server.freeze.freeze();
    }

    /// Goes on after [`Self::freeze`] as if nothing had happened. Requests that were due meanwhile
    /// come to their effect before the server sees that their connections were closed.
    pub fn unfreeze(&self) {
        self.shared.server.freeze.unfreeze();
    }

    /// Requests that a freeze has caught in their middle so far.
    pub fn frozen_requests(&self) -> usize {
        self.shared.server.freeze.parked()
    }

    /// Whether requests wait right before their effect, however long; everything else goes on.
    pub fn set_hold(&self, hold: bool) {
        self.shared.hold.send_replace(hold);
    }

    /// Makes the open connections of all addresses silent for good, without closing them. New ones work.
    pub fn silence_connections(&self) {
        self.shared.server.listeners().iter().for_each(Listener::silence);
    }

    /// Cuts the next `n` answers to work in their middle, after the effect.
    pub fn cut_next_answers(&self, n: u32) {
        self.shared.lock().faults.answers_to_cut = n;
    }

    /// Holds every answer to work back by this much after the effect; zero for not at all.
    pub fn set_late(&self, by: Duration) {
        self.shared.lock().faults.late = by;
    }

    /// Whether all new work is refused for lack of capacity.
    pub fn set_shed(&self, shed: bool) {
        self.shared.lock().faults.shed = shed;
    }

    /// Whether the server is leaving: says so in its grant state and refuses new work. A restart ends it.
    pub fn set_draining(&self, draining: bool) {
        self.shared.lock().faults.draining = draining;
    }

    /// What `GET /health` says instead of the truth; `None` for the truth.
    pub fn set_health(&self, lie: Option<String>) {
        self.shared.lock().faults.health = lie;
    }

    /// What `GET /load` says instead of the truth; `None` for the truth.
    pub fn set_load(&self, lie: Option<String>) {
        self.shared.lock().faults.load = lie;
    }

    /// Dies: running requests are lost, connections closed, new ones refused, until [`Self::restart`].
    pub fn kill(&self) {
        self.shared.forget_life(true);
        for listener in self.shared.server.listeners() {
            listener.cut();
            listener.close_connections();
        }
    }

    /// Dies and starts anew at once: new incarnation, no memory of grants, cold. Every address of the server
    /// can be reached again.
    pub fn restart(&self) -> io::Result<Incarnation> {
        self.kill();
        self.shared.server.freeze.unfreeze();
        let incarnation = self.shared.forget_life(false);
        for listener in self.shared.server.listeners() {
            listener.heal()?;
        }
        Ok(incarnation)
    }

    /// Stops gracefully: requests in progress end first, within a bounded time.
    pub async fn shutdown(self) {
        self.set_hold(false);
        self.shared.server.shutdown().await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.server.abort();
    }
}

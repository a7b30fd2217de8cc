//! The platform's balancer in front of the entry hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use jacinthbeam::types::prelude::*;

/// An entry host as the balancer knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain that it lies in.
    pub domain: FailureDomain,
    /// Where it takes callers.
    pub addr: SocketAddr,
}

/// Entry hosts that callers are sent to.
#[derive(Debug, Default)]
pub struct Balancer(Mutex<BTreeMap<HostId, Backend>>);

impl Balancer {
    /// Sends callers to this host too.
    pub fn add(&self, backend: Backend) {
        self.lock().insert(backend.host.clone(), backend);
    }

    /// Sends no more callers to this host, if it still has this address.
    pub fn remove(&self, host: &HostId, addr: SocketAddr) {
        let mut known = self.lock();
        if known.get(host).is_some_and(|backend| backend.addr == addr) {
            known.remove(host);
        }
    }

    /// All hosts in random order; those that `wanted` is false for are left out.
    pub fn shuffled(
        &self,
        rng: &mut fastrand::Rng,
        wanted: impl Fn(&Backend) -> bool,
    ) -> Vec<Backend> {
        let mut hosts: Vec<Backend> =
            self.lock().values().filter(|backend| wanted(backend)).cloned().collect();
        rng.shuffle(&mut hosts);
        hosts
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<HostId, Backend>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

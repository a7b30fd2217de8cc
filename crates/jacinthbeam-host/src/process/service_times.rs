//! Mean time from the send to the answer that this host has measured, by service and rank.

use std::{collections::BTreeMap, time::Duration};

use jacinthbeam_types::prelude::*;

/// Weight of a new answer. About the last twenty answers of a rank count, which a host receives within a few seconds.
const EWMA_WEIGHT: f64 = 0.1;

/// Mean service times. Kept for services whose load is exchanged between hosts.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes(BTreeMap<ServiceName, BTreeMap<u32, Duration>>);

impl ServiceTimes {
    /// Records a successful answer to a request of a rank.
    pub fn on_answer(&mut self, service: &ServiceName, rank: u32, took: Duration) {
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), BTreeMap::new());
        }
        let Some(ranks) = self.0.get_mut(service) else { return };
        let mean = ranks.entry(rank).or_insert(took);
        *mean = mean.mul_f64(1.0 - EWMA_WEIGHT) + took.mul_f64(EWMA_WEIGHT);
    }

    /// Mean service time of a rank; `None` before the first answer.
    pub fn get(&self, service: &ServiceName, rank: u32) -> Option<Duration> {
        self.0.get(service)?.get(&rank).copied()
    }
}

//! Routes: map a request's host and path to a service.

use std::{
    collections::{BTreeMap, BTreeSet},
    slice,
    sync::Arc,
    time::Duration,
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The service and the handling of the requests with one host and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs; unique within a configuration.
    pub name: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once, unless the caller specifies it.
    pub idempotent: bool,
    /// Maximum time until a caller gets a response.
    pub timeout: Duration,
    /// Latency objective: time within which an answer has its full value for the caller.
    pub objective: Duration,
    /// Priority among the requests of a service; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of sends of an idempotent request whose earlier sends failed or may have run.
    pub attempts: u32,
    /// The service or services that its requests go to.
    pub target: Target,
    /// Regions whose backend servers may get its requests; empty if all may.
    #[serde(default)]
    pub home_regions: BTreeSet<Region>,
}

impl Route {
    /// Whether its requests may be sent to `region`; `None` is an unknown region, which only a route without home regions
    /// allows.
    pub fn allows_region(&self, region: Option<&Region>) -> bool {
        let is_listed = || region.is_some_and(|region| self.home_regions.contains(region));
        self.home_regions.is_empty() || is_listed()
    }
}

/// The service or services of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// All requests go to one service.
    Service(ServiceName),
    /// Each service gets its share of the requests.
    Split(Vec<Part>),
}

/// One service's share of a split route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service that gets the share.
    pub service: ServiceName,
    /// The share is this weight over the sum of all weights of the route.
    pub weight: f64,
}

impl Target {
    /// The services that requests may go to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let (one, parts) = match self {
            Self::Service(service) => (Some(service), [].iter()),
            Self::Split(parts) => (None, parts.iter()),
        };
        one.into_iter().chain(parts.map(|part| &part.service))
    }
}

/// Wildcard host: its routes apply where the request's host has no matching route.
pub const ANY_HOST: &str = "*";

/// All routes of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes {
    /// Routes by host in lower case, ordered by descending length of the prefix.
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
}

impl Routes {
    /// Adds a route of `host`.
    pub fn insert(&mut self, host: &str, route: Route) {
        let routes = self.by_host.entry(host.to_ascii_lowercase()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Finds the route with the longest prefix of `path`, of `host` or else of [`ANY_HOST`]. `host` may contain a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.of_host(&name.to_ascii_lowercase(), path).or_else(|| self.of_host(ANY_HOST, path))
    }

    fn of_host(&self, name: &str, path: &str) -> Option<&Arc<Route>> {
        let mut routes = self.by_host.get(name)?.iter();
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flat_map(|routes| routes.iter())
    }
}

/// Smooth weighted round-robin over the parts of one split route: after any number of requests, each part is within about one
/// request of its share.
///
/// With random selection, a share of 10 % would be missed by more than 3 % in one of twenty windows of 300 requests.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    parts: Vec<Part>,
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the service of the next request; `None` if no part has a positive weight. Starts over if `parts` have changed.
    pub fn next(&mut self, parts: &[Part]) -> Option<ServiceName> {
        if self.parts != parts {
            self.parts = parts.to_vec();
            self.credit = vec![0.0; parts.len()];
        }
        let sum: f64 = parts.iter().map(|part| part.weight).sum();
        if sum <= 0.0 {
            return None;
        }
        for (credit, part) in self.credit.iter_mut().zip(parts) {
            *credit += part.weight / sum;
        }
        let next = max_credit(self.credit.iter())?;
        self.credit[next] -= 1.0;
        Some(parts[next].service.clone())
    }
}

fn max_credit(credit: slice::Iter<'_, f64>) -> Option<usize> {
    credit.enumerate().max_by(|a, b| a.1.total_cmp(b.1)).map(|(at, _)| at)
}

//! One accepted version of the configuration.

use std::{collections::BTreeMap, fmt, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Routes, Target};

/// Everything that one version says.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Versions only ever rise on a host.
    pub version: ConfigVersion,
    /// Which requests go where.
    pub routes: Routes,
    /// The services that routes lead to, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds of what a caller may send.
    pub limits: Limits,
}

/// A service: a set of backend servers that do the same work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The team that its use is counted against; `None` where the configuration names none.
    pub team: Option<TeamName>,
    /// Path at which a backend server answers whether it is well.
    pub health_path: String,
    /// Connections that one backend server accepts from all hosts together.
    pub connections: u32,
    /// Whether each key of the service is served by its owner only.
    pub keyed: bool,
    /// How long keys are slow that a backend server got without their handover.
    pub warmup: Duration,
    /// What its servers take while they are cold; `None` if nothing bounds it.
    pub slow_start: Option<SlowStart>,
}

/// What a cold server of a service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long a server stays cold after its start or after it was evacuated.
    pub lasts: Duration,
    /// Requests a second from all hosts together.
    pub rate: Rate,
}

/// Bounds of what a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time for the whole head, from its first byte.
    pub head_timeout: Duration,
    /// Time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 1 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Why a configuration can't be followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A route leads to a service that the configuration doesn't have.
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service that is missing.
        service: ServiceName,
    },
    /// A route has no target, or none of its parts has a weight.
    NoTarget {
        /// Name of the route.
        route: String,
    },
    /// A route's path prefix doesn't begin and end with a slash.
    Prefix {
        /// Name of the route.
        route: String,
        /// The prefix as given.
        prefix: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route} leads to service {service}, which is not configured")
            }
            Self::NoTarget { route } => {
                write!(f, "route {route} leads to no service with a weight above 0")
            }
            Self::Prefix { route, prefix } => {
                write!(f, "route {route}: path prefix {prefix:?} must begin and end with a slash")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Config {
    /// Checks what the parts say of each other.
    pub fn check(&self) -> Result<(), Error> {
        for route in self.routes.iter() {
            let name = || route.name.clone();
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(Error::Prefix { route: name(), prefix: route.prefix.clone() });
            }
            if let Target::Split(parts) = &route.target
                && !parts.iter().any(|part| part.weight > 0.0)
            {
                return Err(Error::NoTarget { route: name() });
            }
            for service in route.target.services() {
                if !self.services.contains_key(service) {
                    return Err(Error::UnknownService { route: name(), service: service.clone() });
                }
            }
        }
        Ok(())
    }
}

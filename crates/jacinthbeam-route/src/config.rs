//! One accepted version of the configuration.

use std::{collections::BTreeMap, fmt, str::FromStr, time::Duration};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Routes, Target};

/// The content of one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number. On a host it never decreases.
    pub version: ConfigVersion,
    /// Which requests go where.
    pub routes: Routes,
    /// The services that routes lead to, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on what a caller may send.
    pub limits: Limits,
}

/// A service: a set of backend servers that do the same work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The team that is charged for its use; `None` if the configuration names none.
    pub team: Option<TeamName>,
    /// Path of the health check of its backend servers.
    pub health_path: String,
    /// Maximum number of connections that one backend server accepts from all hosts together.
    pub connections: u32,
    /// Whether each key of the service is served by its owner only.
    pub keyed: bool,
    /// How long requests for keys are slow on a backend server that was granted the keys without a handover.
    pub warmup: Duration,
    /// Rate limit of its cold servers; `None` if there is none.
    pub slow_start: Option<SlowStart>,
    /// Whether hosts exchange its load and admit its requests by rank.
    #[serde(default, with = "text_only")]
    pub admission: Admission,
}

/// Whether hosts exchange the load of a service and admit its requests by rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Admission {
    /// If the ranks and objectives of the routes call for it.
    #[default]
    Auto,
    /// Never.
    Off,
}

impl fmt::Display for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Auto => "auto",
            Self::Off => "off",
        })
    }
}

/// The text is neither `auto` nor `off`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownAdmission;

impl fmt::Display for UnknownAdmission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("must be \"auto\" or \"off\"")
    }
}

impl std::error::Error for UnknownAdmission {}

impl FromStr for Admission {
    type Err = UnknownAdmission;

    fn from_str(text: &str) -> Result<Self, UnknownAdmission> {
        match text {
            "auto" => Ok(Self::Auto),
            "off" => Ok(Self::Off),
            _ => Err(UnknownAdmission),
        }
    }
}

/// Encodes [`Admission`] in text formats and leaves it out of binary ones.
///
/// Records in the store are JSON, where older builds ignore the field and records without it can be read. Messages between hosts are in a
/// binary format whose fields have no names: there, an added field would make the messages of older builds unreadable. They carry the
/// value separately.
mod text_only {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    use super::Admission;

    pub(super) fn serialize<S: Serializer>(
        value: &Admission,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => serializer.collect_str(value),
            false => ().serialize(serializer),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Admission, D::Error> {
        if !deserializer.is_human_readable() {
            return <()>::deserialize(deserializer).map(|()| Admission::default());
        }
        String::deserialize(deserializer)?.parse().map_err(D::Error::custom)
    }
}

/// Rate limit of the cold servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowStart {
    /// How long a server stays cold after the end of an evacuation of its failure domain. After its start, it is cold for as long
    /// as its own entry says.
    pub lasts: Duration,
    /// Requests per second from all hosts together.
    pub rate: Rate,
}

/// Limits on the size of a caller's request, and on the time to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub head: usize,
    /// Maximum size of a request's body in bytes.
    pub body: usize,
    /// Time limit for the whole head, from its first byte.
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

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A route leads to a service that the configuration doesn't have.
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service that is missing.
        service: ServiceName,
    },
    /// A route has no target, or none of its parts has a positive weight.
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
    /// Checks the consistency of routes and services.
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

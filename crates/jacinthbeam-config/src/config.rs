//! The merged and checked configuration, as the system follows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What all accepted files say together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Services that callers may address.
    pub services: BTreeMap<ServiceName, Service>,
    /// What the operators declare to be gone for good.
    pub lost: Lost,
}

/// Hosts and failure domains that the operators declare to be gone for good.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// Lives of entry hosts that will never speak again. They count as having promised silence.
    pub hosts: BTreeSet<Incarnation>,
    /// Failure domains whose backend servers may be taken over from.
    pub failure_domains: BTreeSet<FailureDomain>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The team that its use is counted against.
    pub team: TeamName,
    /// Whether and how its keys are divided.
    pub division: Division,
    /// Whether its backend servers refuse requests sent under a stale grant.
    pub checks_grants: bool,
    /// What becomes of its keys in a failure domain that is cut off.
    pub cut_off: CutOff,
    /// Requests that a backend server runs at once.
    pub concurrency: u32,
    /// Connections that a backend server takes at most.
    pub connections: u32,
    /// Requests that may wait for one backend server.
    pub queue: u32,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may ask for; a longer one is cut to it.
    pub max_deadline: Duration,
    /// Largest body of a request.
    pub max_body: Bytes,
    /// HTTP methods whose requests may be repeated without harm.
    pub idempotent_methods: BTreeSet<String>,
    /// When keys change their owner to even out the load.
    pub balance: Balance,
}

/// How the keys of a service are divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Division {
    /// Keys hash to slots, and each slot has at most one owner.
    Keyed {
        /// Number of slots; never changes for a service name.
        slots: u32,
    },
    /// Any backend server of the service may take any request.
    Undivided,
}

impl fmt::Display for Division {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Keyed { slots } => write!(f, "{slots} slots"),
            Self::Undivided => f.write_str("undivided"),
        }
    }
}

/// What becomes of keys in a failure domain that is cut off from the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CutOff {
    /// Their owners there go on serving them; nobody else takes them over.
    #[default]
    Hold,
    /// Their owners stop within a lease, and others may take them over.
    Yield,
}

/// When keys change their owner to even out the load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Balance {
    /// Who starts a move, and when.
    pub policy: Policy,
    /// What unavailable time and churn cost, against each other.
    pub weights: Weights,
    /// A server may give slots away while its load is above this multiple of the mean.
    pub start_above: f64,
    /// It stops to do so once its load is below this multiple of the mean; lower than `start_above`.
    pub stop_below: f64,
    /// Most planned moves of slots a minute, over the whole service.
    pub moves_per_minute: u32,
    /// A slot that was moved stays where it is for this long, unless its owner is lost or leaves.
    pub min_stay: Duration,
    /// A server that starts takes its full share of load only after this time.
    pub warm_up: Duration,
    /// When a single key gets a slot of its own.
    pub hot_key: HotKey,
}

/// Who starts a planned move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// Slots move only when a server joins, leaves or is lost.
    Static,
    /// A server above the threshold gives slots to the least loaded one.
    Threshold,
    /// A server above the threshold gives slots to the less loaded of two picked at random.
    PowerOfTwoChoices,
}

impl Policy {
    /// All policies, by their words in a file.
    pub const ALL: [(&str, Self); 3] = [
        ("static", Self::Static),
        ("threshold", Self::Threshold),
        ("power_of_two_choices", Self::PowerOfTwoChoices),
    ];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = Self::ALL.iter().find(|(_, policy)| policy == self).map(|(word, _)| *word);
        f.write_str(word.unwrap_or_default())
    }
}

/// Relative costs that decide whether a move pays.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Cost of time in which a key can't be served.
    pub unavailable: f64,
    /// Cost of a change of owner.
    pub churn: f64,
}

/// When a single key gets a slot of its own.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct HotKey {
    /// Split a key out once it takes this share of what a backend server can serve.
    pub split_above: f64,
    /// Merge it back once it takes less than this share; lower than `split_above`.
    pub merge_below: f64,
    /// For how long it must take less than that before it is merged back.
    pub cool_for: Duration,
    /// Most keys of the service that are split out at a time; 0 turns splitting off.
    pub most: u32,
}

/// Requests that wait for one backend server, unless configured.
pub const DEFAULT_QUEUE: u32 = 32;
/// Deadline of a request that names none, unless configured.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
/// Longest deadline, unless configured.
pub const DEFAULT_MAX_DEADLINE: Duration = Duration::from_secs(10);
/// Largest body of a request, unless configured.
pub const DEFAULT_MAX_BODY: Bytes = Bytes(1 << 20);
/// Methods that are idempotent by the definition of HTTP and cost little to repeat.
pub const DEFAULT_IDEMPOTENT_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl Default for Balance {
    fn default() -> Self {
        Self {
            policy: Policy::Threshold,
            weights: Weights::default(),
            start_above: 1.25,
            stop_below: 1.1,
            moves_per_minute: 600,
            min_stay: Duration::from_secs(30),
            warm_up: Duration::from_secs(10),
            hot_key: HotKey::default(),
        }
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self { unavailable: 1.0, churn: 1.0 }
    }
}

impl Default for HotKey {
    fn default() -> Self {
        Self { split_above: 0.5, merge_below: 0.2, cool_for: Duration::from_secs(300), most: 16 }
    }
}

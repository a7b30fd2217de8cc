//! What control costs an entry host, by the sizes that it may depend on.
//!
//! One size is varied and the others stay; the slope over several sizes is what `docs/CAPACITY.md` reckons with. Entry hosts,
//! stand-ins and the measurement are one process. There are no callers, so all that entry hosts do is control.

mod fold;
mod host;
mod peer;
mod report;

use std::{fmt, str::FromStr, time::Duration};

use crate::deployment;

pub use report::{HostCost, Report, Row};

/// What is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vary {
    /// Backend servers of the cell.
    Servers,
    /// Slots, over the same backend servers.
    Slots,
    /// Entry hosts of the cell, over the same backend servers.
    Members,
    /// Configured services without backend servers.
    Services,
    /// Entry hosts of other cells in the platform's list.
    Nodes,
    /// The same, while ten records a second are read.
    BusyNodes,
    /// Changes of configuration in a hundred seconds.
    Changes,
    /// Files of the configuration, folded without a host.
    Files,
    /// Hot keys with a slot of their own, folded without a host.
    Splits,
    /// Hosts in the platform's list, read without a host.
    List,
    /// Idle connections between entry hosts.
    Peers,
}

impl Vary {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::Servers,
        Self::Slots,
        Self::Members,
        Self::Services,
        Self::Nodes,
        Self::BusyNodes,
        Self::Changes,
        Self::Files,
        Self::Splits,
        Self::List,
        Self::Peers,
    ];

    /// The text by which it is named.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Servers => "servers",
            Self::Slots => "slots",
            Self::Members => "members",
            Self::Services => "services",
            Self::Nodes => "nodes",
            Self::BusyNodes => "busy-nodes",
            Self::Changes => "changes",
            Self::Files => "files",
            Self::Splits => "splits",
            Self::List => "list",
            Self::Peers => "peers",
        }
    }

    /// Sizes unless others are asked for.
    pub fn sizes(self) -> Vec<u32> {
        match self {
            Self::Servers => vec![8, 16, 32, 64],
            Self::Slots => vec![1_200, 12_000, 120_000],
            Self::Members => vec![2, 4, 8, 16],
            Self::Services => vec![1, 30, 100, 300],
            Self::Nodes | Self::BusyNodes => vec![0, 2_000, 10_000, 20_000],
            Self::Changes => vec![0, 40, 200, 1000],
            Self::Files => vec![10, 100, 300, 1000],
            Self::Splits => vec![0, 64, 260, 1024],
            Self::List => vec![1_000, 5_000, 20_000],
            Self::Peers => vec![100, 300, 1000],
        }
    }

    /// Largest size that is taken, so that a run stays bounded.
    pub fn most(self) -> u32 {
        match self {
            Self::Servers => 128,
            Self::Slots => 1_000_000,
            Self::Members => 32,
            Self::Services | Self::Files | Self::Splits => 1024,
            Self::Nodes | Self::BusyNodes | Self::List => 50_000,
            Self::Changes | Self::Peers => 2000,
        }
    }
}

impl fmt::Display for Vary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text names nothing that can be varied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = Vary::ALL.map(Vary::as_str).join(", ");
        write!(f, "{:?} can't be varied; there are {known}", self.0)
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Vary {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL.into_iter().find(|vary| vary.as_str() == text);
        named.ok_or_else(|| ParseError(text.to_owned()))
    }
}

/// What to do.
#[derive(Debug, Clone)]
pub struct Options {
    /// What is varied.
    pub vary: Vary,
    /// Its sizes; above [`Vary::most`] they are cut to it.
    pub sizes: Vec<u32>,
    /// How long each size is measured.
    pub lasts: Duration,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<Report, deployment::Error> {
    let sizes = options.sizes.iter().map(|size| (*size).min(options.vary.most()));
    let mut rows = Vec::new();
    for size in sizes {
        rows.push(match options.vary {
            Vary::Files => fold::files(size)?,
            Vary::Splits => fold::splits(size)?,
            Vary::List => fold::list(size)?,
            Vary::Peers => peer::measure(size).await?,
            vary => Row::Host(host::measure(vary, size, options.lasts).await?),
        });
    }
    Ok(Report { vary: options.vary, rows })
}

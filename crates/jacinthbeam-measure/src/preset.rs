//! The deployments of today, with the load that is put on them.

use std::{fmt, str::FromStr, time::Duration};

use jacinthbeam::{config::folder::Snapshot, types::prelude::*};

use crate::{
    Plan,
    load::{Load, ServiceLoad},
};

/// A deployment of today's sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// Rimefall, bc-interior.
    Rimefall,
    /// Chladicí deník, cz-stred.
    Chladici,
}

/// The text names no deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a deployment is one of rimefall, chladici")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Preset {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "rimefall" => Ok(Self::Rimefall),
            "chladici" => Ok(Self::Chladici),
            _ => Err(ParseError),
        }
    }
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rimefall => "rimefall",
            Self::Chladici => "chladici",
        })
    }
}

/// Name and text of one file of an example configuration.
macro_rules! example {
    ($folder:literal, $name:literal) => {
        ($name, include_str!(concat!("../../../examples/", $folder, "/", $name)))
    };
}

const RIMEFALL: [(&str, &str); 4] = [
    example!("rimefall", "10-forecasts.json"),
    example!("rimefall", "20-field-crews.json"),
    example!("rimefall", "30-limits.json"),
    example!("rimefall", "40-balance.json"),
];
const CHLADICI: [(&str, &str); 4] = [
    example!("chladici", "10-provoz.json"),
    example!("chladici", "20-technici.json"),
    example!("chladici", "30-limits.json"),
    example!("chladici", "40-balance.json"),
];

impl Preset {
    /// Entry hosts and backend servers.
    pub fn plan(self) -> Plan {
        let domains = match self {
            Self::Rimefall => ["kamloops-a", "kelowna-b", "prince-george-c"],
            Self::Chladici => ["sal-a", "sal-b", "sal-c"],
        };
        Plan { network: true, ..Plan::new(domains) }
    }

    /// The example configuration.
    pub fn folder(self) -> Snapshot {
        let files = match self {
            Self::Rimefall => RIMEFALL,
            Self::Chladici => CHLADICI,
        };
        let named = |(name, text): (&str, &str)| {
            (name.parse().expect("the names of the examples are proper"), text.to_owned())
        };
        Snapshot { files: files.into_iter().map(named).collect() }
    }

    /// Load of about `rate` requests a second in all.
    pub fn load(self, rate: f64) -> Load {
        let services = match self {
            Self::Rimefall => {
                [("tilecast", 0.5, 0.0), ("brinedesk", 0.3, 0.7), ("callbell", 0.2, 0.9)]
            }
            Self::Chladici => [("archiv", 0.5, 0.0), ("zapis", 0.3, 0.8), ("zakazky", 0.2, 0.9)],
        };
        let service = |(name, share, orders): (&str, f64, f64)| {
            let service: ServiceName = name.parse().expect("the names here are proper");
            (service, ServiceLoad { rate: rate * share, orders })
        };
        Load {
            services: services.into_iter().map(service).collect(),
            keys: 2000,
            zipf: 0.9,
            keyed: 0.5,
            long: 0.05,
            long_time: Duration::from_millis(300),
            shift: None,
        }
    }
}

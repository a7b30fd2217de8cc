//! Quantities with their units.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A number of bytes. Written as a plain number or with `KiB`, `MiB` or `GiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Bytes(pub u64);

/// The text is not a number of bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError(String);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a number with an optional unit (KiB, MiB or GiB)", self.0)
    }
}

impl std::error::Error for ParseError {}

const UNITS: [(&str, u64); 3] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole =
            UNITS.iter().find(|(_, factor)| self.0 >= *factor && self.0.is_multiple_of(*factor));
        match whole {
            Some((unit, factor)) => write!(f, "{}{unit}", self.0 / factor),
            None => self.0.fmt(f),
        }
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let err = || ParseError(text.into());
        let unit =
            UNITS.iter().find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)));
        let (number, factor) = unit.unwrap_or((text, 1));
        let number: u64 = number.trim().parse().map_err(|_| err())?;
        number.checked_mul(factor).map(Self).ok_or_else(err)
    }
}

/// A share of a processor, in thousandths of a core. Written as `200m`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millicores(pub u32);

impl Millicores {
    /// One core.
    pub const CORE: Self = Self(1000);
}

/// The text is not a share of a processor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseMillicoresError(String);

impl fmt::Display for ParseMillicoresError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a number of thousandths of a core such as \"200m\"", self.0)
    }
}

impl std::error::Error for ParseMillicoresError {}

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for Millicores {
    type Err = ParseMillicoresError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix('m').and_then(|number| number.parse().ok());
        number.map(Self).ok_or_else(|| ParseMillicoresError(text.into()))
    }
}

/// A rate of requests, in thousandths of a request per second. Written as `4.4/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(pub u32);

/// The text or number is not a rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseRateError(String);

impl fmt::Display for ParseRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not a rate such as \"4.4/s\"", self.0)
    }
}

impl std::error::Error for ParseRateError {}

impl Rate {
    /// The least that a server is sent, whatever limit it states. The answers to these requests are the only ones that can withdraw the limit.
    pub const PROBE: Self = Self(100);

    /// The rate of this many requests per second.
    pub fn from_per_second(value: f64) -> Result<Self, ParseRateError> {
        let thousandths = value * 1000.0;
        if !(0.0..=f64::from(u32::MAX)).contains(&thousandths) {
            return Err(ParseRateError(value.to_string()));
        }
        Ok(Self(thousandths.round() as u32))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for Rate {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").and_then(|number| number.parse().ok());
        Self::from_per_second(number.ok_or_else(|| ParseRateError(format!("{text:?}")))?)
    }
}

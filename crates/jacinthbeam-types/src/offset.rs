//! Positions in the partitions of the platform's store.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::Era;

/// Position of a record in a partition of the platform's store: the era of the store, and the offset in it.
///
/// A store that is restored from an older copy gives offsets out again, in a new era. Positions are ordered by the era first,
/// so that the later one of two is that of the newer record, whatever became of the records between.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

/// Bits of the offset within an era.
const NUMBER_BITS: u32 = 44;

impl Offset {
    /// The position of the offset `number` in an era.
    pub fn new(era: Era, number: u64) -> Self {
        Self(era.0 << NUMBER_BITS | number & Self::NUMBER_MASK)
    }

    const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

    /// The era.
    pub fn era(self) -> Era {
        Era(self.0 >> NUMBER_BITS)
    }

    /// The offset within the era, as the store knows it.
    pub fn number(self) -> u64 {
        self.0 & Self::NUMBER_MASK
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => write!(f, "{}", self.number()),
            era => write!(f, "{era}/{}", self.number()),
        }
    }
}

impl FromStr for Offset {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('/').unwrap_or(("0", text));
        Ok(Self::new(Era(era.parse()?), number.parse()?))
    }
}

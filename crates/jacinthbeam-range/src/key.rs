//! Keys and ranges of them.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// One key of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(pub u16);

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Key {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A contiguous, never empty range of keys, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRange {
    /// Lowest key.
    pub first: Key,
    /// Highest key, at least `first`.
    pub last: Key,
}

/// Number of keys of a service.
pub const KEY_COUNT: u32 = 1 << 16;

impl KeyRange {
    /// Every key.
    pub const ALL: Self = Self { first: Key(0), last: Key(u16::MAX) };

    /// The keys from `first` to `last`, or `None` if `first` is above `last`.
    pub fn new(first: u16, last: u16) -> Option<Self> {
        (first <= last).then_some(Self { first: Key(first), last: Key(last) })
    }

    /// Whether the range includes `key`.
    pub fn contains(self, key: Key) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the two ranges have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether this range includes every key of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Number of keys, at least 1.
    pub fn width(self) -> u32 {
        u32::from(self.last.0) - u32::from(self.first.0) + 1
    }

    /// The part of this range below `other`, if any.
    pub fn below(self, other: Self) -> Option<Self> {
        (self.first < other.first).then(|| Self { first: self.first, last: Key(other.first.0 - 1) })
    }

    /// The part of this range above `other`, if any.
    pub fn above(self, other: Self) -> Option<Self> {
        (self.last > other.last).then(|| Self { first: Key(other.last.0 + 1), last: self.last })
    }

    /// Splits the range into at most `pieces` ranges whose widths differ by at most one key.
    pub fn split_evenly(self, pieces: u32) -> Vec<Self> {
        let pieces = pieces.clamp(1, self.width());
        let start = |n: u32| u32::from(self.first.0) + (self.width() * n) / pieces;
        (0..pieces)
            .map(|n| Self { first: Key(start(n) as u16), last: Key((start(n + 1) - 1) as u16) })
            .collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// The text is not a key range: two numbers `first-last` with `first <= last`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key range is written <first>-<last>, with 0 <= first <= last <= 65535")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for KeyRange {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (first, last) = text.split_once('-').ok_or(ParseError)?;
        let number = |text: &str| text.parse().map_err(|_| ParseError);
        Self::new(number(first)?, number(last)?).ok_or(ParseError)
    }
}

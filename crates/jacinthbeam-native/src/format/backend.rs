//! What a backend server understands, over HTTP/1.1.
//!
//! - `GET /grant` answers its [`GrantState`]; `POST /grant` with a [`Grant`] answers `200` and the new state,
//!   or `409` and the present state if the grant is refused.
//! - `GET /health` and `GET /load` answer text that lags or misleads.
//! - Any other request is work. It carries the headers below. A refusal before the request ran is
//!   `409`, `503` or `429` with header [`REFUSED`]; an answer without that header means that the
//!   request ran.
//! - Closing the connection cancels the request.

use std::fmt;

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Request header: token of the grant that the request is sent under.
pub const TOKEN: &str = "grant-token";
/// Request header: slot of the key, absent for an undivided service.
pub const SLOT: &str = "grant-slot";
/// Request header: the caller's key.
pub const KEY: &str = "request-key";
/// Request header: [`RequestId`] in its text form. An answer may repeat it; one that names another
/// request is not taken.
pub const REQUEST: &str = "request-id";
/// Request header: milliseconds left until the request's deadline.
pub const DEADLINE: &str = "request-deadline-ms";
/// Response header of a refusal: one of the texts of [`RefusedBecause`].
pub const REFUSED: &str = "request-refused";
/// Response header: the server's id, so that an answer is known to come from the server that was asked.
pub const SERVER: &str = "backend-server";

/// The right to serve some slots until some time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Must be at least the highest token the server has accepted.
    pub token: Token,
    /// Must be the server's own incarnation.
    pub incarnation: Incarnation,
    /// Slots it may serve; empty for an undivided service.
    pub slots: SlotSet,
    /// End of the grant, in microseconds of the server's own clock ([`GrantState::clock`]).
    pub until: u64,
    /// Newest record of the control stream that was considered. Must not be lower than the server has seen.
    pub based_on: Offset,
}

/// What a backend server knows of its grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantState {
    /// The server itself.
    pub server: ServerId,
    /// Drawn anew at each start of the server.
    pub incarnation: Incarnation,
    /// Highest token accepted; 0 if none.
    pub token: Token,
    /// Slots of the last grant, also if it has ended.
    pub slots: SlotSet,
    /// End of the last grant in microseconds of the server's clock.
    pub until: u64,
    /// See [`Grant::based_on`]. `None` before the first grant.
    pub based_on: Option<Offset>,
    /// The server's monotonic clock in microseconds, read when the answer was made.
    pub clock: u64,
    /// Requests running now.
    pub running: u32,
    /// Those among them that were admitted under a lower token than the present one.
    pub running_older: u32,
    /// Whether the server asks for no new work.
    pub draining: bool,
}

/// Slots as ascending, disjoint ranges `[first, end)`, which keeps a grant of adjacent slots short.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Vec<(u32, u32)>")]
pub struct SlotSet(Vec<(u32, u32)>);

/// The ranges are empty, overlap or do not ascend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotSetError;

impl fmt::Display for SlotSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("slots are ascending, disjoint ranges [first, end) with first < end")
    }
}

impl std::error::Error for SlotSetError {}

impl TryFrom<Vec<(u32, u32)>> for SlotSet {
    type Error = SlotSetError;

    fn try_from(ranges: Vec<(u32, u32)>) -> Result<Self, Self::Error> {
        let filled = ranges.iter().all(|(first, end)| first < end);
        let ascend = ranges.windows(2).all(|pair| pair[0].1 <= pair[1].0);
        if !filled || !ascend {
            return Err(SlotSetError);
        }
        // Adjacent ranges are joined, so that equal sets compare equal however they were written.
        let mut joined: Vec<(u32, u32)> = Vec::with_capacity(ranges.len());
        for (first, end) in ranges {
            match joined.last_mut() {
                Some(last) if last.1 == first => last.1 = end,
                _ => joined.push((first, end)),
            }
        }
        Ok(Self(joined))
    }
}

impl SlotSet {
    /// Whether the slot is in the set.
    pub fn contains(&self, slot: SlotId) -> bool {
        let after = self.0.partition_point(|(first, _)| *first <= slot.0);
        after > 0 && slot.0 < self.0[after - 1].1
    }

    /// The slots in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = SlotId> + '_ {
        self.0.iter().flat_map(|(first, end)| (*first..*end).map(SlotId))
    }

    /// Number of slots.
    pub fn len(&self) -> usize {
        self.0.iter().map(|(first, end)| (end - first) as usize).sum()
    }

    /// Whether there is no slot in the set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<SlotId> for SlotSet {
    fn from_iter<I: IntoIterator<Item = SlotId>>(slots: I) -> Self {
        let mut slots: Vec<u32> = slots.into_iter().map(|slot| slot.0).collect();
        slots.sort_unstable();
        slots.dedup();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for slot in slots {
            match ranges.last_mut() {
                Some((_, end)) if *end == slot => *end += 1,
                _ => ranges.push((slot, slot + 1)),
            }
        }
        Self(ranges)
    }
}

/// Why a backend server refused a request before running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusedBecause {
    /// The token is not the one of its present grant.
    StaleToken,
    /// Its grant has ended.
    Lapsed,
    /// The slot is not in its grant.
    NotOwner,
    /// It has no capacity.
    Shed,
    /// It is leaving.
    Draining,
    /// The deadline had passed on arrival.
    DeadlinePassed,
}

impl RefusedBecause {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::StaleToken,
        Self::Lapsed,
        Self::NotOwner,
        Self::Shed,
        Self::Draining,
        Self::DeadlinePassed,
    ];

    /// The text of header [`REFUSED`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::StaleToken => "stale-token",
            Self::Lapsed => "lapsed",
            Self::NotOwner => "not-owner",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::DeadlinePassed => "deadline-passed",
        }
    }

    /// The reason with this text, if there is one.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}

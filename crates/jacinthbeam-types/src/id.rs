//! Newtypes for every name and number that identifies something.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes. Names travel in every message between hosts.
pub const MAX_NAME: usize = 128;

/// Why a text is no valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_NAME`] bytes.
    TooLong(usize),
    /// The text contains a character outside `a-z A-Z 0-9 . _ : -`.
    BadCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("a name must not be empty"),
            Self::TooLong(len) => {
                write!(f, "a name has at most {MAX_NAME} bytes, this one has {len}")
            }
            Self::BadCharacter(c) => {
                write!(f, "a name is made of letters, digits and `. _ : -`, not {c:?}")
            }
        }
    }
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME {
        return Err(NameError::TooLong(text.len()));
    }
    match text.chars().find(|c| !c.is_ascii_alphanumeric() && !"._:-".contains(*c)) {
        Some(c) => Err(NameError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl $name {
            /// The next higher number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

name! {
    /// A service that callers address, as named in the configuration.
    ServiceName
}
name! {
    /// The team that a service's use is counted against.
    TeamName
}
name! {
    /// An entry host, stable across restarts of its process.
    HostId
}
name! {
    /// A backend server, stable across its restarts.
    ServerId
}
name! {
    /// A failure domain of the platform.
    FailureDomain
}
name! {
    /// A group of entry hosts and backend servers of one failure domain that attend each other.
    ///
    /// Written `<failure domain>` where the domain has one cell, else `<failure domain>:<n>`.
    /// Heartbeats stay inside a cell, so the cost of membership per host is bounded by the size of
    /// the cell and not by that of the fleet.
    CellId
}
name! {
    /// The caller's own name for one effect it wants at most once.
    IdempotencyKey
}

impl CellId {
    /// The failure domain that the cell lies in.
    pub fn failure_domain(&self) -> FailureDomain {
        let domain = self.as_str().split(':').next().unwrap_or_default();
        FailureDomain(domain.into())
    }
}

number! {
    /// One life of a process. Drawn at its start so that no two lives share it.
    Incarnation(u64)
}
number! {
    /// One share of a service's keys. Numbers from the service's slot count upward are hot keys split out.
    SlotId(u32)
}
number! {
    /// Counts the changes of one fact in the log; a record based on an older epoch is void.
    Epoch(u64)
}
number! {
    /// Position of a record in a stream of the platform's log.
    Offset(u64)
}
number! {
    /// Fencing token of a grant; a backend server accepts no lower one than the highest it has seen.
    Token(u64)
}
number! {
    /// Number of an accepted configuration: the offset of the record that completed it.
    ConfigVersion(u64)
}

/// Names one request of one process life, on every host it passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The process that received the request from the caller.
    pub incarnation: Incarnation,
    /// Counts up within that process.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

/// A request id is two decimal numbers joined by `-`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdError;

impl fmt::Display for RequestIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request id is written <incarnation>-<sequence>")
    }
}

impl std::error::Error for RequestIdError {}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (incarnation, sequence) = text.split_once('-').ok_or(RequestIdError)?;
        Ok(Self {
            incarnation: incarnation.parse().map_err(|_| RequestIdError)?,
            sequence: sequence.parse().map_err(|_| RequestIdError)?,
        })
    }
}

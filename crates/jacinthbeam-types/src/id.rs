//! Newtypes for names and numbers that identify something.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes. Every message between hosts contains names.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`] bytes.
    TooLong(usize),
    /// The text contains a character outside `a-z A-Z 0-9 . _ : -`.
    BadCharacter(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("a name must not be empty"),
            Self::TooLong(len) => {
                write!(f, "a name has at most {MAX_NAME_BYTES} bytes, this one has {len}")
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
    if text.len() > MAX_NAME_BYTES {
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
    /// A service of the configuration, the target of routes.
    ServiceName
}
name! {
    /// The team that is charged for a service's usage.
    TeamName
}
name! {
    /// A host of the system; the same across restarts of its process.
    HostId
}
name! {
    /// The name that a backend server is listed under. It may have the same name after a restart.
    ServerName
}
name! {
    /// A failure domain of the platform.
    FailureDomain
}
name! {
    /// A group of nearby failure domains. A route may require that its data stays within a region.
    Region
}
number! {
    /// Identifies one incarnation of a process. Chosen at its start so that no two share it.
    Incarnation(u64)
}
number! {
    /// Start time of an incarnation of a backend server, in milliseconds since the Unix epoch, by
    /// the server's own clock.
    Born(u64)
}
number! {
    /// Increases with each process that takes over granting the keys of a service.
    Epoch(u64)
}
number! {
    /// Increases each time the store is restored from an older copy. 0 if the store doesn't state it.
    Era(u64)
}
number! {
    /// Fencing token of a grant. A backend server rejects tokens lower than the highest it has
    /// seen.
    Token(u64)
}
number! {
    /// Version of an accepted configuration. Increases with each.
    ConfigVersion(u64)
}

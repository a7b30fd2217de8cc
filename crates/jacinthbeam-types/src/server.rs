//! Identity of one incarnation of a backend server.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::{Born, NameError, ServerName};

/// Separates the name from the start time in text. Names cannot contain it.
const BORN_SEPARATOR: char = '~';

/// One incarnation of a backend server: its name, and its start time if the server reports it.
///
/// A restarted server has lost its keys and the tokens that it had seen, whether it has a new name
/// or the same one. Different ids are therefore different servers, even if they share a name.
///
/// As text it is the name, or the name and the start time as in `s1~1790000000000`. Records of
/// versions that stored only the name are read as an incarnation with unknown start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ServerId {
    name: ServerName,
    born: Option<Born>,
}

impl ServerId {
    /// The incarnation of the server `name` that started at `born`; `None` if that is not known.
    pub fn new(name: ServerName, born: Option<Born>) -> Self {
        Self { name, born }
    }

    /// The name that the server is listed under.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// The start time of this incarnation, if the server reports it.
    pub fn born(&self) -> Option<Born> {
        self.born
    }

    /// Whether `other` is another incarnation under the same name.
    pub fn is_other_incarnation(&self, other: &Self) -> bool {
        self.name == other.name && self.born != other.born
    }
}

impl From<ServerName> for ServerId {
    fn from(name: ServerName) -> Self {
        Self { name, born: None }
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}{BORN_SEPARATOR}{born}", self.name),
            None => self.name.fmt(f),
        }
    }
}

/// Why a text is not a [`ServerId`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The name is invalid.
    Name(NameError),
    /// The text after the name is not a start time.
    Born(ParseIntError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(err) => err.fmt(f),
            Self::Born(err) => {
                write!(f, "the start time is not a whole number of milliseconds: {err}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl FromStr for ServerId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, born) = match text.split_once(BORN_SEPARATOR) {
            Some((name, born)) => (name, Some(born.parse().map_err(Error::Born)?)),
            None => (text, None),
        };
        Ok(Self { name: name.parse().map_err(Error::Name)?, born })
    }
}

impl TryFrom<String> for ServerId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ServerId> for String {
    fn from(id: ServerId) -> Self {
        id.to_string()
    }
}

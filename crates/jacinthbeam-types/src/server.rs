//! Which life of a backend server is meant.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::{Born, NameError, ServerName};

/// Stands between the name and the time of birth in text. No name contains it.
const BORN_SEPARATOR: char = '~';

/// One life of a backend server: its name, and when it started if it says so.
///
/// A server that starts again has forgotten its keys and the tokens that it saw, whether it takes a new name or keeps the old
/// one. Two ids are therefore two servers, although the later one may be found under the name of the earlier.
///
/// As text it is the name, or the name and the time of birth as in `s1~1790000000000`. Records of versions that knew the name only
/// read as a life of unknown birth.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ServerId {
    name: ServerName,
    born: Option<Born>,
}

impl ServerId {
    /// The life of the server `name` that started at `born`; `None` if that is not known.
    pub fn new(name: ServerName, born: Option<Born>) -> Self {
        Self { name, born }
    }

    /// What the server is listed under.
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// When this life started, if it says so.
    pub fn born(&self) -> Option<Born> {
        self.born
    }

    /// Whether `other` is another life under the same name.
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

/// Why a text names no life of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The name is none.
    Name(NameError),
    /// What follows the name is no time of birth.
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

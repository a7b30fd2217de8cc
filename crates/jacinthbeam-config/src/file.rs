//! Names and contents of configuration files.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Endings of the names of files that are read.
pub const ENDINGS: [&str; 2] = [".json", ".jsonc"];
/// Longest name of a file in bytes.
pub const MAX_NAME: usize = 128;
/// Largest file in bytes.
pub const MAX_SIZE: usize = 128 << 10;

/// Name of a file in the folder, without a path. Files merge in the byte order of their names.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct FileName(Arc<str>);

impl FileName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The name, shared.
    pub(crate) fn shared(&self) -> Arc<str> {
        self.0.clone()
    }
}

/// Why a text is no name of a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// It has none of the [`ENDINGS`], or nothing in front of it.
    Ending,
    /// It is longer than [`MAX_NAME`].
    TooLong,
    /// It starts with a dot, or contains something else than letters, digits and `. _ -`.
    BadCharacter,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ending => f.write_str("a configuration file is named <name>.json or <name>.jsonc"),
            Self::TooLong => write!(f, "the name of a configuration file has at most {MAX_NAME} bytes"),
            Self::BadCharacter => f.write_str(
                "the name of a configuration file is made of letters, digits and `. _ -`, and starts with no dot",
            ),
        }
    }
}

impl std::error::Error for NameError {}

impl FromStr for FileName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let stem = ENDINGS.iter().find_map(|ending| text.strip_suffix(ending));
        if stem.is_none_or(str::is_empty) {
            return Err(NameError::Ending);
        }
        if text.len() > MAX_NAME {
            return Err(NameError::TooLong);
        }
        let plain = text.chars().all(|c| c.is_ascii_alphanumeric() || "._-".contains(c));
        if !plain || text.starts_with('.') {
            return Err(NameError::BadCharacter);
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for FileName {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<FileName> for String {
    fn from(name: FileName) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for FileName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Hash of the text of a file. Equal texts have equal hashes on every host and in every release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentHash(u128);

impl ContentHash {
    /// Hashes a text.
    pub fn of(text: &str) -> Self {
        Self(xxh3_128(text.as_bytes()))
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The text is no hash of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HashError;

impl fmt::Display for HashError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a content hash is written as 32 hexadecimal digits")
    }
}

impl std::error::Error for HashError {}

impl FromStr for ContentHash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HashError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| HashError)
    }
}

impl TryFrom<String> for ContentHash {
    type Error = HashError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ContentHash> for String {
    fn from(hash: ContentHash) -> Self {
        hash.to_string()
    }
}

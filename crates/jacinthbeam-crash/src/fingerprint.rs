//! What tells one request from another, whichever host it comes to and however often it is sent.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of everything that makes two attempts the same request.
///
/// Cut from SHA-256, so that no caller can find a request of its own that has the fingerprint of another's. Its text is 32
/// hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// The fingerprint of these parts. Each counts with its length, so that no two lists of parts run together.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize()[..16]);
        Self(u128::from_be_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A text is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fingerprint is 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseError {}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == 32 && text.chars().all(|c| c.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or(ParseError)
    }
}

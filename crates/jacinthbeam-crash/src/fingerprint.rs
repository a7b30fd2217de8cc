//! Identity of a request: the same on every host and for every attempt.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of the parts of a request's head that identify it, such as its method and path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeadDigest(u64);

impl HeadDigest {
    /// The digest of these parts. Each is hashed with its length, so that different lists of parts
    /// never hash the same bytes.
    pub fn of(parts: &[&[u8]]) -> Self {
        Self(digest(parts))
    }
}

/// Identity of a request: attempts with equal fingerprints are attempts of the same request.
///
/// Both halves are truncated SHA-256 digests, so that no caller can construct a request with the
/// fingerprint of another caller's request. The head comes first: a body, which may be long, is
/// digested only if a suspect request has the same head. As text it is 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    head: HeadDigest,
    body: u64,
}

impl Fingerprint {
    /// The fingerprint of the request with this head and body.
    pub fn of(head: HeadDigest, body: &[u8]) -> Self {
        Self { head, body: digest(&[&head.0.to_be_bytes(), body]) }
    }

    /// The lowest of all fingerprints with this head.
    pub fn min_with_head(head: HeadDigest) -> Self {
        Self { head, body: 0 }
    }

    /// The digest of the request's head.
    pub fn head(&self) -> HeadDigest {
        self.head
    }
}

fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_be_bytes(first)
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.head.0, self.body)
    }
}

/// The text is not a fingerprint.
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
        if !digits {
            return Err(ParseError);
        }
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| ParseError);
        let (head, body) = text.split_at(16);
        Ok(Self { head: HeadDigest(number(head)?), body: number(body)? })
    }
}

//! A change of configuration as it stands in a record of the log.

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::file::{ContentHash, FileName};

/// Files that one operator changes together. It is accepted or refused as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The changed files. No file is named twice.
    pub files: Vec<FileChange>,
}

/// Change of one file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileChange {
    /// Name of the file.
    pub name: FileName,
    /// What the operator saw of it before.
    pub base: Base,
    /// The new text; `None` removes the file.
    pub text: Option<String>,
}

/// The accepted content of a file that an operator saw.
///
/// The hash alone would not do: an operator who saw content 1 could change it after others accepted
/// content 2 and then content 1 again, and so revert the last acceptance unseen. `seen` is
/// therefore compared too.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Hash of the content; `None` if there was no such file.
    pub hash: Option<ContentHash>,
    /// Version of the configuration at which that was so; `None` if no configuration was looked at.
    pub seen: Option<ConfigVersion>,
}

//! A publication whose end is not known yet, kept in a hidden file of the folder.
//!
//! The append of a record may take effect although its answer is lost, and the operator's program
//! may be gone before the log can be read again. Without this file the next run could not tell the
//! operator's own record from a change by others.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use jacinthbeam::{
    config::{
        ContentHash, FileName,
        change::{Base, Change},
        folder,
        publish::Synced,
    },
    state::RecordId,
    types::prelude::*,
};
use serde::{Deserialize, Serialize};

/// Name of the file. It starts with a dot and is not merged.
pub const FILE: &str = ".jacinthbeam-pending.json";

/// A publication that was handed to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pending {
    /// Names the record.
    pub id: RecordId,
    /// The files it changes and their new content; `None` for one that it removes.
    pub files: BTreeMap<FileName, Option<ContentHash>>,
}

/// Why [`FILE`] could not be read or written.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read(io::Error),
    /// The file holds something else.
    Format(serde_json::Error),
    /// The file can't be written or removed.
    Write(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(err) => write!(f, "{FILE} can't be read ({err}); check its permissions"),
            Self::Format(err) => write!(f, "{FILE} is damaged ({err}); remove it"),
            Self::Write(err) => {
                write!(f, "{FILE} can't be written ({err}); check the folder's permissions")
            }
        }
    }
}

impl std::error::Error for Error {}

impl Pending {
    /// What is noted of a change before it is appended.
    pub fn of(id: RecordId, change: &Change) -> Self {
        let hash = |text: &String| ContentHash::of(text);
        let files = change.files.iter();
        let files = files.map(|file| (file.name.clone(), file.text.as_ref().map(hash)));
        Self { id, files: files.collect() }
    }

    /// Notes in `synced` that the files were accepted as they are here.
    pub fn accepted(&self, version: ConfigVersion, synced: &mut Synced) {
        for (name, hash) in &self.files {
            synced.files.insert(name.clone(), Base { hash: *hash, seen: Some(version) });
        }
    }
}

/// The publication that is noted in a folder, if there is one.
pub fn load(folder: &Path) -> Result<Option<Pending>, Error> {
    match fs::read(folder.join(FILE)) {
        Ok(buf) => serde_json::from_slice(&buf).map(Some).map_err(Error::Format),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(Error::Read(err)),
    }
}

/// Notes a publication.
pub fn store(folder: &Path, pending: &Pending) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(pending).map_err(Error::Format)?;
    let draft = format!("{FILE}.{}", pending.id);
    folder::replace(folder, FILE, &draft, &text).map_err(Error::Write)
}

/// Removes the note of one publication, not that of another one which was noted since.
pub fn remove(folder: &Path, id: RecordId) -> Result<(), Error> {
    match load(folder)? {
        Some(pending) if pending.id == id => {
            fs::remove_file(folder.join(FILE)).map_err(Error::Write)
        }
        _ => Ok(()),
    }
}

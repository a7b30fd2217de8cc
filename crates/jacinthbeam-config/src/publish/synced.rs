//! What a folder was last in sync with, kept in a hidden file of the folder.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    change::Base,
    file::{ContentHash, FileName},
    fold::State,
    folder::{self, Snapshot},
};

/// Name of the file that keeps [`Synced`]. It starts with a dot and is not merged.
pub const FILE: &str = ".jacinthbeam.json";

/// What a folder was last in sync with.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Synced {
    /// Version at which all of the folder was compared; holds for names that `files` lacks.
    pub seen: Option<ConfigVersion>,
    /// Accepted content of single files, and the version at which it was in force.
    pub files: BTreeMap<FileName, Base>,
}

impl Synced {
    /// What was last known of a file.
    pub fn base(&self, name: &FileName) -> Base {
        self.files.get(name).copied().unwrap_or(Base { hash: None, seen: self.seen })
    }

    /// Newest version that the folder has seen any part of.
    pub fn newest(&self) -> Option<ConfigVersion> {
        self.files.values().map(|base| base.seen).max().flatten().max(self.seen)
    }

    /// Notes which files of the folder are as they are in force; the others keep their base.
    ///
    /// Call it with the snapshot that was published, not with a later one: edits made meanwhile were not.
    pub fn refresh(&mut self, folder: &Snapshot, state: &State) {
        let known: Vec<FileName> = folder.files.keys().chain(self.files.keys()).cloned().collect();
        for name in known {
            let mine = folder.files.get(&name).map(|text| ContentHash::of(text));
            if mine == state.files().get(&name).map(|file| file.hash) {
                self.files.insert(name, Base { hash: mine, seen: state.version() });
            }
        }
    }

    /// Takes over what another reading of the same folder knows better.
    ///
    /// Two operators may publish from one folder at the same time. Were the last one's file kept as
    /// it is, the base of the first one's files would be lost, and the next edit of them would be
    /// refused as a conflict.
    pub fn join(&mut self, other: Self) {
        self.seen = self.seen.max(other.seen);
        for (name, base) in other.files {
            let known = self.files.entry(name).or_insert(base);
            if base.seen > known.seen {
                *known = base;
            }
        }
    }
}

/// Why [`FILE`] could not be read or written.
#[derive(Debug)]
pub enum Error {
    /// The file can't be read.
    Read(io::Error),
    /// The file holds something else.
    Format(serde_json::Error),
    /// The file can't be written.
    Write(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(err) => write!(f, "{FILE} can't be read ({err}); check its permissions"),
            Self::Format(err) => {
                write!(f, "{FILE} is damaged ({err}); remove it and adopt what is in force")
            }
            Self::Write(err) => write!(
                f,
                "{FILE} can't be written ({err}); what was published is in force all the same, \
                 but later edits may be refused as conflicts"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Reads what the folder was last in sync with; nothing if the file is absent.
pub fn load(folder: &Path) -> Result<Synced, Error> {
    match fs::read(folder.join(FILE)) {
        Ok(buf) => serde_json::from_slice(&buf).map_err(Error::Format),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(Synced::default()),
        Err(err) => Err(Error::Read(err)),
    }
}

/// Writes what the folder is in sync with, joined with what another operator may have written meanwhile.
pub fn store(folder: &Path, synced: &Synced) -> Result<(), Error> {
    let mut joined = load(folder)?;
    joined.join(synced.clone());
    let text = serde_json::to_string_pretty(&joined).map_err(Error::Format)?;
    // Named by its content, so that operators on two machines can't write different texts to one draft.
    let draft = format!("{FILE}.{}", ContentHash::of(&text));
    folder::replace(folder, FILE, &draft, &text).map_err(Error::Write)
}

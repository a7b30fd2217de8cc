//! Reads the folder that operators put files into.

use std::{collections::BTreeMap, fmt, fs, io, path::Path, thread, time::Duration};

use crate::{
    check::{Checked, check},
    file::{FileName, MAX_SIZE, NameError},
    fold::MAX_FILES,
    problem::Problem,
};

mod list;

pub use list::list;

/// The configuration files of a folder at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Texts of the files, in the order in which they merge.
    pub files: BTreeMap<FileName, String>,
}

impl Snapshot {
    /// Merges and checks the files by themselves, without regard to what is in force.
    pub fn check(&self) -> Result<Checked, Vec<Problem>> {
        check(self.files.iter().map(|(name, text)| (name, text.as_str())))
    }
}

/// Writes a file of the folder by renaming `draft` into place, so that a reader never sees half of it.
///
/// Drafts that are written at the same time with different texts need different names.
pub fn replace(folder: &Path, file: &str, draft: &str, text: &str) -> io::Result<()> {
    let draft = folder.join(draft);
    fs::write(&draft, text)?;
    fs::rename(&draft, folder.join(file))
}

/// How to wait for a folder to settle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time between two reads, longer than an editor takes to save a file.
    pub apart: Duration,
    /// Most reads before giving up; at least 2.
    pub reads: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { apart: Duration::from_millis(250), reads: 20 }
    }
}

/// Why no snapshot of a folder could be taken.
#[derive(Debug)]
pub enum Error {
    /// The folder itself can't be read.
    Folder(io::Error),
    /// A file can't be read.
    File(String, io::Error),
    /// A file ends like a configuration file but has no right name.
    Name(String, NameError),
    /// A file holds something else than UTF-8 text.
    NotText(FileName),
    /// A file is larger than [`MAX_SIZE`].
    TooLarge(FileName),
    /// There are more than [`MAX_FILES`] files.
    TooMany,
    /// The files were being changed all the time.
    Unsettled,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Folder(err) => {
                write!(f, "the folder can't be read ({err}); check its path and permissions")
            }
            Self::File(name, err) => {
                write!(f, "{name} can't be read ({err}); check its permissions")
            }
            Self::Name(name, err) => {
                write!(f, "{name:?} has a wrong name ({err}); rename it or move it away")
            }
            Self::NotText(name) => write!(f, "{name} is no UTF-8 text; save it as UTF-8"),
            Self::TooLarge(name) => write!(f, "{name} is larger than {MAX_SIZE} bytes; split it"),
            Self::TooMany => {
                write!(f, "there are more than {MAX_FILES} configuration files; join some")
            }
            Self::Unsettled => f.write_str(
                "the files change all the time; try again when nobody saves to the folder",
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Reads the folder until two reads in a row agree, waiting on the calling thread between them.
pub fn open(path: &Path, options: Options) -> Result<Snapshot, Error> {
    snapshot(options, || list(path), thread::sleep)
}

/// Calls `read` until two reads in a row agree, with a `pause` between them.
///
/// A single read could see a file half saved, or just one of two files that an operator saves
/// together. A folder that lacks a file is well-formed, and would be published with the services in
/// that file removed. A read that fails, as when a file is replaced between the listing and the
/// reading of it, agrees with none; its error is given if it is the last.
pub fn snapshot(
    options: Options,
    mut read: impl FnMut() -> Result<Snapshot, Error>,
    mut pause: impl FnMut(Duration),
) -> Result<Snapshot, Error> {
    let mut last = read();
    for _ in 1..options.reads {
        pause(options.apart);
        let next = read();
        if let (Ok(last), Ok(next)) = (&last, &next)
            && last == next
        {
            return Ok(next.clone());
        }
        last = next;
    }
    last.and(Err(Error::Unsettled))
}

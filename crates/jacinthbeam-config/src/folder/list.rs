//! One read of a folder.

use std::{
    fs::{self, DirEntry, File},
    io::{self, Read},
    path::Path,
};

use super::{Error, Snapshot};
use crate::{
    file::{ENDINGS, FileName, MAX_SIZE},
    fold::MAX_FILES,
};

/// Reads all configuration files of a folder once. Hidden files, folders and files with other
/// endings are left out.
pub fn list(path: &Path) -> Result<Snapshot, Error> {
    let mut snapshot = Snapshot::default();
    for entry in fs::read_dir(path).map_err(Error::Folder)? {
        let entry = entry.map_err(Error::Folder)?;
        let Some(name) = name(&entry)? else { continue };
        let Some(text) = text(&entry.path(), &name)? else { continue };
        if snapshot.files.len() == MAX_FILES {
            return Err(Error::TooMany);
        }
        snapshot.files.insert(name, text);
    }
    Ok(snapshot)
}

/// The name, if it is one of a configuration file.
fn name(entry: &DirEntry) -> Result<Option<FileName>, Error> {
    let name = entry.file_name();
    let name = name.to_string_lossy();
    let ours = !name.starts_with('.') && ENDINGS.iter().any(|ending| name.ends_with(ending));
    if !ours {
        return Ok(None);
    }
    name.parse().map(Some).map_err(|err| Error::Name(name.into_owned(), err))
}

/// The text, unless it is a folder that bears such a name.
fn text(path: &Path, name: &FileName) -> Result<Option<String>, Error> {
    let failed = |err: io::Error| Error::File(name.to_string(), err);
    let f = File::open(path).map_err(failed)?;
    if !f.metadata().map_err(failed)?.is_file() {
        return Ok(None);
    }
    let mut buf = Vec::new();
    f.take(MAX_SIZE as u64 + 1).read_to_end(&mut buf).map_err(failed)?;
    if buf.len() > MAX_SIZE {
        return Err(Error::TooLarge(name.clone()));
    }
    String::from_utf8(buf).map(Some).map_err(|_| Error::NotText(name.clone()))
}

//! Which configuration is in force, and what a change makes of it: a pure function of the state before and the change.
//!
//! The state is one record in the store. Whoever publishes applies a change to the newest record and keeps the result on the
//! condition that no other record came first, so that changes follow one another in one order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthbeam_route::{Config, Service};
use jacinthbeam_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    change::{Base, Change, FileChange},
    check,
    file::{ContentHash, FileName, MAX_SIZE},
    merge::merge,
    problem::{Kind, Problem},
};
use parsed::Parsed;

mod in_use;
mod parsed;

/// Most files of a configuration.
pub const MAX_FILES: usize = 1024;
/// Most bytes of text in one change, so that it fits into a record of the log with room to spare.
pub const MAX_CHANGE: usize = 512 << 10;
/// Most replaced texts that are remembered of a file.
pub const MAX_REPLACED: usize = 16;
/// Most removed files that are remembered one by one.
pub const MAX_REMOVED: usize = 1024;

/// The accepted files and what they say. A clone shares them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    files: Arc<BTreeMap<FileName, File>>,
    replaced: Arc<BTreeMap<FileName, Vec<Replaced>>>,
    removed: Arc<BTreeMap<FileName, ConfigVersion>>,
    forgotten: Option<ConfigVersion>,
    former: Arc<BTreeMap<ServiceName, Service>>,
    config: Arc<Config>,
    version: Option<ConfigVersion>,
}

/// An accepted file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Its text.
    pub text: Arc<str>,
    /// Hash of the text.
    pub hash: ContentHash,
    /// Version in which this text was accepted.
    pub since: ConfigVersion,
    #[serde(skip)]
    parsed: Parsed,
}

/// A text of a file that is in force no more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Replaced {
    hash: ContentHash,
    version: ConfigVersion,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All of it is in force since this version.
    Accepted(ConfigVersion),
    /// None of it is in force: others changed these files since the operator looked.
    Conflict(Vec<FileName>),
    /// None of it is in force: the result would be wrong.
    Invalid(Vec<Problem>),
}

impl State {
    /// The configuration in force; empty before the first one is accepted.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Number of the configuration in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.version
    }

    /// The accepted files.
    pub fn files(&self) -> &BTreeMap<FileName, File> {
        &self.files
    }

    /// Version in which a file that is absent now was removed, if it may ever have been there.
    pub fn removed_in(&self, name: &FileName) -> Option<ConfigVersion> {
        self.removed.get(name).copied().or(self.forgotten)
    }

    /// Version in which this text of a file was last replaced or removed, if it is among the last
    /// [`MAX_REPLACED`].
    pub fn replaced_in(&self, name: &FileName, hash: ContentHash) -> Option<ConfigVersion> {
        let mut newest_first = self.replaced.get(name)?.iter().rev();
        newest_first.find(|replaced| replaced.hash == hash).map(|replaced| replaced.version)
    }

    /// Folds the change that is kept at `offset`. Changes must be folded in their order.
    ///
    /// A change that asks only for what is in force already is accepted without a new version, so
    /// that a repeated record does no harm.
    pub fn apply(&mut self, offset: Offset, change: &Change) -> Outcome {
        let problems = malformed(change);
        if !problems.is_empty() {
            return Outcome::Invalid(problems);
        }
        let wanted: Vec<&FileChange> =
            change.files.iter().filter(|file| !self.in_force(file)).collect();
        let stale: Vec<FileName> = wanted
            .iter()
            .filter(|file| self.is_stale(&file.name, &file.base))
            .map(|file| file.name.clone())
            .collect();
        if !stale.is_empty() {
            return Outcome::Conflict(stale);
        }
        if !wanted.is_empty() {
            return self.accept(ConfigVersion(offset.0), &wanted);
        }
        match self.version {
            Some(version) => Outcome::Accepted(version),
            None => Outcome::Conflict(change.files.iter().map(|file| file.name.clone()).collect()),
        }
    }

    /// Whether the file is already as the change wants it.
    fn in_force(&self, change: &FileChange) -> bool {
        match (self.files.get(&change.name), &change.text) {
            (Some(file), Some(text)) => *file.text == **text,
            (None, None) => true,
            _ => false,
        }
    }

    /// Whether a file was changed by others after the operator looked at it.
    ///
    /// Without this an older folder that is published late would revert what was accepted since.
    /// The base says which content was seen and when; any acceptance that touched the file after
    /// that makes the change stale, even one that put the seen content back.
    pub fn is_stale(&self, name: &FileName, base: &Base) -> bool {
        match self.files.get(name) {
            Some(file) => base.hash != Some(file.hash) || base.seen < Some(file.since),
            None => base.hash.is_some() || base.seen < self.removed_in(name),
        }
    }

    fn accept(&mut self, version: ConfigVersion, changes: &[&FileChange]) -> Outcome {
        let mut next = self.clone();
        for change in changes {
            next.set(version, change);
        }
        if next.files.len() > MAX_FILES {
            return Outcome::Invalid(vec![too_many_files(next.files.len())]);
        }
        let config = match self.checked(&next.files) {
            Ok(config) => config,
            Err(problems) => return Outcome::Invalid(problems),
        };
        in_use::retire(&self.config, &config, Arc::make_mut(&mut next.former));
        next.config = Arc::new(Config { version, ..config });
        next.version = Some(version);
        *self = next;
        Outcome::Accepted(version)
    }

    /// What the files say, if they may follow what is in force.
    fn checked(&self, files: &BTreeMap<FileName, File>) -> Result<Config, Vec<Problem>> {
        let parsed = check::all(files.iter().map(|(name, file)| file.parsed.of(name, &file.text)))?;
        let merged = merge(parsed);
        let config = check::config(&merged)?;
        let problems = in_use::check(&self.config, &self.former, &config, &merged);
        if problems.is_empty() { Ok(config) } else { Err(problems) }
    }

    fn set(&mut self, version: ConfigVersion, change: &FileChange) {
        let name = &change.name;
        match &change.text {
            Some(text) => self.put(version, name, text),
            None => self.remove(version, name),
        }
    }

    fn put(&mut self, version: ConfigVersion, name: &FileName, text: &str) {
        let (hash, parsed) = (ContentHash::of(text), Parsed::default());
        let file = File { text: text.into(), hash, since: version, parsed };
        let old = Arc::make_mut(&mut self.files).insert(name.clone(), file);
        Arc::make_mut(&mut self.removed).remove(name);
        self.remember(version, name, old);
    }

    fn remove(&mut self, version: ConfigVersion, name: &FileName) {
        let old = Arc::make_mut(&mut self.files).remove(name);
        Arc::make_mut(&mut self.removed).insert(name.clone(), version);
        self.remember(version, name, old);
        while self.removed.len() > MAX_REMOVED {
            self.forget_oldest();
        }
    }

    fn remember(&mut self, version: ConfigVersion, name: &FileName, old: Option<File>) {
        let Some(old) = old else { return };
        let replaced = Arc::make_mut(&mut self.replaced).entry(name.clone()).or_default();
        replaced.push(Replaced { hash: old.hash, version });
        if replaced.len() > MAX_REPLACED {
            replaced.remove(0);
        }
    }

    /// Drops the oldest removal. From then on any unknown name counts as removed at that version: a
    /// stale creation is still refused, and an operator who looked since is not.
    fn forget_oldest(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
        if let Some((name, version)) = oldest.map(|(name, version)| (name.clone(), *version)) {
            Arc::make_mut(&mut self.removed).remove(&name);
            Arc::make_mut(&mut self.replaced).remove(&name);
            self.forgotten = self.forgotten.max(Some(version));
        }
    }
}

/// What is wrong with a change whatever it is applied to.
fn malformed(change: &Change) -> Vec<Problem> {
    let mut problems = Vec::new();
    if change.files.is_empty() {
        problems.push(unfit("", "the change names no file", "publish a folder with changes"));
    }
    let mut seen = BTreeSet::new();
    for file in &change.files {
        let name = file.name.as_str();
        if !seen.insert(&file.name) {
            problems.push(unfit(name, "the change names the file twice", "name it once"));
        }
        let size = file.text.as_ref().map_or(0, String::len);
        if size > MAX_SIZE {
            let what = format!("{size} bytes are more than {MAX_SIZE}");
            problems.push(unfit(name, what, "split the file"));
        }
        if file.text.is_none() && file.base.hash.is_none() {
            problems.push(unfit(
                name,
                "the change removes a file that was not there",
                "leave it out",
            ));
        }
    }
    let total: usize =
        change.files.iter().filter_map(|file| file.text.as_ref()).map(String::len).sum();
    if total > MAX_CHANGE {
        let what = format!("the changed files have {total} bytes, more than {MAX_CHANGE}");
        problems.push(unfit("", what, "publish some of the files first"));
    }
    problems
}

fn too_many_files(count: usize) -> Problem {
    unfit("", format!("{count} files are more than {MAX_FILES}"), "join some of the files")
}

/// A problem of a file as a whole.
fn unfit(path: &str, what: impl Into<String>, remedy: &str) -> Problem {
    let kind = Kind::Unfit { what: what.into(), remedy: remedy.into() };
    Problem { place: None, path: path.into(), kind }
}

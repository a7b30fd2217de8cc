//! What to publish from a folder: a three-way comparison of the folder, what the folder was last in
//! sync with, and what is in force.
//!
//! The comparison is made on the operator's side and may be out of date when the change reaches the
//! log. That does no harm: the change carries what it is based on, and [`State::apply`] judges it
//! again.

use std::{collections::BTreeSet, fmt};

use jacinthbeam_types::prelude::*;

use crate::{
    change::{Change, FileChange},
    file::{ContentHash, FileName},
    fold::{Outcome, State},
    folder::Snapshot,
    problem::Problem,
};

pub mod adopt;
pub mod synced;

pub use adopt::{Adoption, Choice, adopt};
pub use synced::Synced;

/// What the operator says about single files.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Options {
    /// Files for which a text that was in force before may be put back.
    pub put_back: BTreeSet<FileName>,
}

/// What to do to bring the edits of a folder into force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// Append this change to the log.
    Publish {
        /// The edits made in the folder.
        change: Change,
        /// Files that others changed and that the folder still has as they were before. They are left alone.
        stale: Vec<FileName>,
    },
    /// The folder has no edits.
    NothingToDo {
        /// As in [`Plan::Publish`]. Not empty for a folder that is older than what is in force.
        stale: Vec<FileName>,
    },
    /// Edits in the folder clash with what others brought into force. Nothing is published.
    Conflict(Vec<Clash>),
    /// The result would be wrong. Nothing is published.
    Invalid(Vec<Problem>),
    /// The state that was compared with is older than the folder; another host may know more.
    ViewTooOld {
        /// Version that the folder was in sync with.
        folder: ConfigVersion,
        /// Version of the state.
        view: Option<ConfigVersion>,
    },
}

/// A file that can't be published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clash {
    /// The file.
    pub name: FileName,
    /// Why.
    pub why: Why,
}

/// Why a file can't be published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Others changed or added it.
    Changed {
        /// Version in which they did.
        since: ConfigVersion,
    },
    /// Others removed it.
    Removed {
        /// Version in which they did; `None` if the folder says that it was there and nothing is known of it.
        since: Option<ConfigVersion>,
    },
    /// The text was in force before and was replaced.
    PutsBack {
        /// Version in which it was replaced.
        replaced: ConfigVersion,
    },
}

/// Compares the folder with what it was last in sync with and with what is in force.
pub fn plan(folder: &Snapshot, synced: &Synced, state: &State, options: &Options) -> Plan {
    if let Some(newest) = synced.newest()
        && Some(newest) > state.version()
    {
        return Plan::ViewTooOld { folder: newest, view: state.version() };
    }
    let mut edits = Edits::default();
    for name in names(folder, synced, state) {
        edits.add(name, folder, synced, state, options);
    }
    edits.into_plan(state)
}

/// Every name that the folder, its base or the state knows.
fn names<'a>(folder: &'a Snapshot, synced: &'a Synced, state: &'a State) -> BTreeSet<&'a FileName> {
    folder.files.keys().chain(synced.files.keys()).chain(state.files().keys()).collect()
}

#[derive(Default)]
struct Edits {
    files: Vec<FileChange>,
    stale: Vec<FileName>,
    clashes: Vec<Clash>,
}

impl Edits {
    fn add(
        &mut self,
        name: &FileName,
        folder: &Snapshot,
        synced: &Synced,
        state: &State,
        options: &Options,
    ) {
        let base = synced.base(name);
        let text = folder.files.get(name);
        let mine = text.map(|text| ContentHash::of(text));
        if mine == state.files().get(name).map(|file| file.hash) {
            return;
        }
        let stale = state.is_stale(name, &base);
        if mine == base.hash {
            // Not edited here, so others changed it. To publish it would revert their change.
            self.stale.push(name.clone());
            return;
        }
        let why = match mine.and_then(|mine| state.replaced_in(name, mine)) {
            _ if stale => Some(why_stale(name, state)),
            Some(replaced) if !options.put_back.contains(name) => Some(Why::PutsBack { replaced }),
            _ => None,
        };
        match why {
            Some(why) => self.clashes.push(Clash { name: name.clone(), why }),
            None => {
                let text = text.cloned();
                self.files.push(FileChange { name: name.clone(), base, text });
            }
        }
    }

    fn into_plan(self, state: &State) -> Plan {
        if !self.clashes.is_empty() {
            return Plan::Conflict(self.clashes);
        }
        if self.files.is_empty() {
            return Plan::NothingToDo { stale: self.stale };
        }
        let change = Change { files: self.files };
        match trial(state, &change) {
            Outcome::Accepted(_) => Plan::Publish { change, stale: self.stale },
            Outcome::Invalid(problems) => Plan::Invalid(problems),
            Outcome::Conflict(names) => Plan::Conflict(clashes(names, state)),
        }
    }
}

/// What the log would make of the change if it came next.
fn trial(state: &State, change: &Change) -> Outcome {
    let next = state.version().map_or(Offset(0), |version| Offset(version.0 + 1));
    state.clone().apply(next, change)
}

/// Tells why a change was refused by the log, given the names in [`Outcome::Conflict`] and the
/// state after it.
pub fn clashes(names: Vec<FileName>, state: &State) -> Vec<Clash> {
    let clash = |name: FileName| Clash { why: why_stale(&name, state), name };
    names.into_iter().map(clash).collect()
}

fn why_stale(name: &FileName, state: &State) -> Why {
    match state.files().get(name) {
        Some(file) => Why::Changed { since: file.since },
        None => Why::Removed { since: state.removed_in(name) },
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Publish { change, stale } => {
                for file in &change.files {
                    let verb = match (&file.text, file.base.hash) {
                        (None, _) => "remove",
                        (Some(_), None) => "add",
                        (Some(_), Some(_)) => "change",
                    };
                    writeln!(f, "{verb} {}", file.name)?;
                }
                write_stale(f, stale)
            }
            Self::NothingToDo { stale } => {
                f.write_str("nothing to publish\n")?;
                write_stale(f, stale)
            }
            Self::Conflict(clashes) => {
                clashes.iter().try_for_each(|clash| writeln!(f, "conflict: {clash}"))
            }
            Self::Invalid(problems) => {
                problems.iter().try_for_each(|problem| writeln!(f, "invalid: {problem}"))
            }
            Self::ViewTooOld { folder, view } => {
                write!(
                    f,
                    "the folder was in sync with version {folder}, but the host asked knows "
                )?;
                match view {
                    Some(view) => write!(f, "only version {view}")?,
                    None => f.write_str("no configuration")?,
                }
                f.write_str("; ask again or ask another host\n")
            }
        }
    }
}

fn write_stale(f: &mut fmt::Formatter<'_>, stale: &[FileName]) -> fmt::Result {
    stale.iter().try_for_each(|name| {
        writeln!(f, "left alone: {name} is older here than in force; adopt what is in force")
    })
}

impl fmt::Display for Clash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = &self.name;
        match self.why {
            Why::Changed { since } => {
                write!(
                    f,
                    "{name} was changed by others in version {since}; adopt it, then edit again"
                )
            }
            Why::Removed { since: Some(since) } => {
                write!(
                    f,
                    "{name} was removed by others in version {since}; adopt that, or keep your file"
                )
            }
            Why::Removed { since: None } => {
                write!(f, "{name} was never in force here; adopt what is in force, then edit again")
            }
            Why::PutsBack { replaced } => write!(
                f,
                "{name} is an old text that was replaced in version {replaced}; \
                 adopt what is in force, or name the file as put back"
            ),
        }
    }
}

//! Brings a folder up to what is in force without losing edits made in it.

use std::collections::BTreeMap;

use super::{Synced, names};
use crate::{
    change::Base,
    file::{ContentHash, FileName},
    fold::State,
    folder::Snapshot,
};

/// What becomes of a file that was edited here and changed by others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Keep the text of the folder; the next publication replaces what is in force.
    Keep,
    /// Take what is in force; the edit is lost.
    Take,
}

/// What to write to a folder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Adoption {
    /// Files to write.
    pub write: BTreeMap<FileName, String>,
    /// Files to remove.
    pub remove: Vec<FileName>,
    /// Files that were edited here and changed by others, and that nothing was chosen for. They
    /// stay in conflict.
    pub undecided: Vec<FileName>,
    /// What the folder is in sync with afterwards.
    pub synced: Synced,
}

/// Compares a folder with what is in force and says what to write to it.
///
/// Files without edits are brought up to date, edits of files that nobody else changed are kept,
/// and for the rest `choose` decides.
pub fn adopt(
    folder: &Snapshot,
    synced: &Synced,
    state: &State,
    mut choose: impl FnMut(&FileName) -> Option<Choice>,
) -> Adoption {
    let mut adoption = Adoption { synced: synced.clone(), ..Adoption::default() };
    for name in names(folder, synced, state) {
        let base = synced.base(name);
        let mine = folder.files.get(name).map(|text| ContentHash::of(text));
        let accepted = state.files().get(name).map(|file| file.hash);
        let edited = mine != base.hash;
        if mine == accepted {
            adoption.look(name, state);
        } else if edited && !state.is_stale(name, &base) {
            adoption.synced.files.insert(name.clone(), base);
        } else {
            let choice = if edited { choose(name) } else { Some(Choice::Take) };
            adoption.settle(name, base, choice, state);
        }
    }
    adoption.synced.seen = state.version().max(synced.seen);
    adoption
}

impl Adoption {
    fn settle(&mut self, name: &FileName, base: Base, choice: Option<Choice>, state: &State) {
        match choice {
            Some(Choice::Keep) => self.look(name, state),
            Some(Choice::Take) => {
                self.take(name, state);
                self.look(name, state);
            }
            None => {
                // The base is kept even where there was no entry for the name: `seen` of the whole
                // folder is about to rise, and would make a file that others removed look as if the
                // operator had agreed to that.
                self.synced.files.insert(name.clone(), base);
                self.undecided.push(name.clone());
            }
        }
    }

    fn take(&mut self, name: &FileName, state: &State) {
        match state.files().get(name) {
            Some(file) => {
                self.write.insert(name.clone(), file.text.to_string());
            }
            None => self.remove.push(name.clone()),
        }
    }

    /// Notes that the operator has seen what is in force of a file.
    fn look(&mut self, name: &FileName, state: &State) {
        let hash = state.files().get(name).map(|file| file.hash);
        self.synced.files.insert(name.clone(), Base { hash, seen: state.version() });
    }
}

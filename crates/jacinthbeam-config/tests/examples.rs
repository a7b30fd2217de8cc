//! The example folders of the repository are right.

use std::path::PathBuf;

use jacinthbeam_config::{
    change::{Base, Change, FileChange},
    fold::{Outcome, State},
    folder,
};
use jacinthbeam_types::prelude::*;

fn example(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(path)
}

fn publish(path: &str) -> State {
    let snapshot = folder::list(&example(path)).expect("the folder is readable");
    let changes = snapshot.files.into_iter().map(|(name, text)| {
        let base = Base::default();
        FileChange { name, base, text: Some(text) }
    });
    let mut state = State::default();
    let outcome = state.apply(Offset(0), &Change { files: changes.collect() });
    assert_eq!(outcome, Outcome::Accepted(ConfigVersion(0)));
    state
}

#[test]
fn folder_of_rimefall_is_accepted() {
    insta::assert_debug_snapshot!(publish("rimefall").config());
}

#[test]
fn folder_of_chladici_is_accepted() {
    insta::assert_debug_snapshot!(publish("chladici").config());
}

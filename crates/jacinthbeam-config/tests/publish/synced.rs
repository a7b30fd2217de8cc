//! The hidden file of a folder.

use std::{fs, path::PathBuf};

use jacinthbeam_config::{
    change::Base,
    publish::{
        Synced,
        synced::{self, Error, FILE},
    },
};
use jacinthbeam_types::prelude::*;

use super::operator::file;

fn scratch(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("the folder for tests is writable");
    path
}

fn synced(name: &str, seen: u64) -> Synced {
    let base = Base { hash: None, seen: Some(ConfigVersion(seen)) };
    Synced { seen: None, files: [(file(name), base)].into() }
}

#[test]
fn two_operators_in_one_folder_do_not_lose_each_others_base() {
    // Two operators publish from one folder at the same time. Both read the hidden file before
    // either writes it. The later one writes an older base of the first one's file; the newer base
    // must stay, or her next edit is refused.
    let path = scratch("two-operators");
    synced::store(&path, &synced("10.json", 5)).expect("writable");
    let mut late = synced("10.json", 3);
    late.join(synced("20.json", 6));
    synced::store(&path, &late).expect("writable");
    let stored = synced::load(&path).expect("readable");
    assert_eq!(stored.base(&file("10.json")).seen, Some(ConfigVersion(5)));
    assert_eq!(stored.base(&file("20.json")).seen, Some(ConfigVersion(6)));
    let left: Vec<_> = fs::read_dir(&path).expect("readable").collect();
    assert_eq!(left.len(), 1, "no draft is left behind");
}

#[test]
fn folder_without_the_file_was_never_in_sync() {
    assert_eq!(synced::load(&scratch("no-file")).expect("readable"), Synced::default());
}

#[test]
fn damaged_file_is_an_error_and_not_an_empty_base() {
    let path = scratch("damaged");
    fs::write(path.join(FILE), "{ \"seen\": 3, \"fil").expect("writable");
    let err = synced::load(&path).expect_err("damaged");
    assert!(matches!(err, Error::Format(_)), "{err}");
}

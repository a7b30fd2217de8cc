//! What the log makes of changes.

use jacinthbeam_config::{
    ContentHash, Division,
    change::{Base, Change, FileChange},
    fold::{Outcome, State},
};
use jacinthbeam_types::prelude::*;

const ONE: &str = r#"{ "services": { "tilecast": {
    "team": "ice", "division": { "keyed": { "slots": 2000 } }, "concurrency": 3, "connections": 130
} } } // tiles"#;

fn change(name: &str, base: Base, text: Option<&str>) -> Change {
    let name = name.parse().expect("a right name");
    Change { files: vec![FileChange { name, base, text: text.map(str::to_owned) }] }
}

fn seen(text: &str, version: u64) -> Base {
    Base { hash: Some(ContentHash::of(text)), seen: Some(ConfigVersion(version)) }
}

#[test]
fn first_change_is_accepted_and_followed() {
    let mut state = State::default();
    let outcome = state.apply(Offset(7), &change("10.json", Base::default(), Some(ONE)));
    assert_eq!(outcome, Outcome::Accepted(ConfigVersion(7)));
    let service = &state.config().services[&"tilecast".parse().expect("a name")];
    assert_eq!(service.division, Division::Keyed { slots: 2000 });
}

#[test]
fn repeated_record_changes_nothing() {
    let mut state = State::default();
    let first = change("10.json", Base::default(), Some(ONE));
    state.apply(Offset(7), &first);
    let before = state.clone();
    assert_eq!(state.apply(Offset(8), &first), Outcome::Accepted(ConfigVersion(7)));
    assert_eq!(state, before);
}

#[test]
fn change_of_a_file_that_others_changed_is_a_conflict() {
    let mut state = State::default();
    state.apply(Offset(1), &change("10.json", Base::default(), Some(ONE)));
    let newer = ONE.replace("\"ice\"", "\"roads\"");
    let older = ONE.replace("130", "120");
    state.apply(Offset(2), &change("10.json", seen(ONE, 1), Some(&newer)));
    let before = state.clone();
    let outcome = state.apply(Offset(3), &change("10.json", seen(ONE, 1), Some(&older)));
    assert_eq!(outcome, Outcome::Conflict(vec!["10.json".parse().expect("a name")]));
    assert_eq!(state, before);
}

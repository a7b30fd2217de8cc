//! What becomes of changes.

use std::time::Duration;

use jacinthbeam_config::{
    ContentHash, FileName,
    change::{Base, Change, FileChange},
    fold::{Outcome, State},
};
use jacinthbeam_types::prelude::*;

const ONE: &str = r#"{ "services": { "tilecast": {
    "team": "ice", "keyed": true, "connections": 130
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
    assert!(service.keyed);
    assert_eq!(state.config().version, ConfigVersion(7));
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

/// Publishes `first`, removes it, and says what the log makes of `second` after the one and after the other.
fn first_then(first: &str, second: &str) -> String {
    let mut state = State::default();
    state.apply(Offset(1), &change("10.json", Base::default(), Some(first)));
    let changed = state.clone().apply(Offset(2), &change("10.json", seen(first, 1), Some(second)));
    state.apply(Offset(2), &change("10.json", seen(first, 1), None));
    let absent = Base { hash: None, seen: Some(ConfigVersion(2)) };
    let returned = state.apply(Offset(3), &change("10.json", absent, Some(second)));
    [("changed", changed), ("removed and added", returned)]
        .map(|(how, outcome)| say(how, outcome))
        .concat()
}

fn say(how: &str, outcome: Outcome) -> String {
    match outcome {
        Outcome::Invalid(problems) => {
            problems.iter().map(|problem| format!("{how}: {problem}\n")).collect()
        }
        other => format!("{how}: {other:?}\n"),
    }
}

#[test]
fn what_a_cut_off_domain_still_follows_does_not_change() {
    // A failure domain is cut off and follows the configuration it read last. The operators change whether the keys of a service
    // have owners. Hosts there would go on as before while others don't: a key would be served by its owner and by
    // anybody. Removing the service and adding it again comes to the same and is refused too.
    let shared = ONE.replace("\"keyed\": true", "\"keyed\": false");
    let said = [
        ("keys lose their owners", first_then(ONE, &shared)),
        ("keys get owners", first_then(&shared, ONE)),
        ("fewer connections", first_then(ONE, &ONE.replace("130", "60"))),
    ];
    insta::assert_snapshot!(said.map(|(title, said)| format!("{title}\n{said}")).join("\n"));
}

#[test]
fn oversized_and_senseless_changes_are_refused() {
    let name = |name: &str| -> FileName { name.parse().expect("a right name") };
    let put = |at: &str, size: usize| FileChange {
        name: name(at),
        base: Base::default(),
        text: Some(" ".repeat(size)),
    };
    let names: Vec<String> = (0..5).map(|n| format!("{n}.json")).collect();
    let mut state = State::default();
    let mut said = String::new();
    let many = names.iter().map(|name| put(name, 120_000)).collect();
    for (title, files) in [
        ("no file", vec![]),
        ("one file twice", vec![put("1.json", 1), put("1.json", 2)]),
        ("large file", vec![put("1.json", 200_000)]),
        ("large change", many),
        ("absent file", change("1.json", Base::default(), None).files),
        ("file never seen", change("1.json", seen("{}", 1), None).files),
        ("many files", (0..1025).map(|n| put(&format!("{n}.json"), 1)).collect()),
    ] {
        said += &say(title, state.apply(Offset(1), &Change { files }));
    }
    assert_eq!(state, State::default());
    insta::assert_snapshot!(said);
}

#[test]
fn removal_that_was_forgotten_still_refuses_an_older_folder() {
    // More files are removed than are remembered one by one. An old folder then adds the first of
    // them again. The state no longer knows that name, so any unknown name counts as removed at the
    // newest forgotten version.
    let mut state = State::default();
    let mut version = 0;
    for round in 0..5 {
        let names: Vec<String> = (0..300).map(|n| format!("{round}-{n}.json")).collect();
        for text in [Some("{}"), None] {
            version += 1;
            let base = if text.is_none() { seen("{}", version - 1) } else { Base::default() };
            let base = Base { seen: Some(ConfigVersion(version - 1)), ..base };
            let files = names.iter().flat_map(|name| change(name, base, text).files).collect();
            let outcome = state.apply(Offset(version), &Change { files });
            assert_eq!(outcome, Outcome::Accepted(ConfigVersion(version)));
        }
    }
    let old = Base { hash: None, seen: Some(ConfigVersion(1)) };
    let late = state.apply(Offset(20), &change("0-0.json", old, Some("{}")));
    assert!(matches!(late, Outcome::Conflict(_)), "{late:?}");
    let new = Base { hash: None, seen: Some(ConfigVersion(version)) };
    let outcome = state.apply(Offset(21), &change("0-0.json", new, Some("{}")));
    assert_eq!(outcome, Outcome::Accepted(ConfigVersion(21)));
}

/// What an operator would see: a value that a later file overrode does not come back when that file
/// is removed, or comes back only on hosts that restarted. Parsed files are kept from change to
/// change, and merging shares their values; a merge that wrote into a kept file, or a kept file
/// that differed from its text, would make hosts disagree.
#[test]
fn kept_files_say_what_their_texts_say() {
    let over = r#"{ "services": { "tilecast": { "warm_up_ms": 7 } } }"#;
    let none = r#"{ "services": { "tilecast": { "warm_up_ms": null } } }"#;
    let one = ONE.replace("\"ice\"", "\"ice\", \"warm_up_ms\": null");
    let mut state = State::default();
    let mut configs = Vec::new();
    let changes = [
        change("10.json", Base::default(), Some(&one)),
        change("20.json", Base::default(), Some(over)),
        change("20.json", seen(over, 2), Some(none)),
        change("20.json", seen(none, 3), None),
    ];
    for (offset, change) in (1..).zip(&changes) {
        let text = serde_json::to_string(&state).expect("writes");
        let mut restarted: State = serde_json::from_str(&text).expect("reads back");
        assert_eq!(restarted, state);
        assert_eq!(restarted.apply(Offset(offset), change), state.apply(Offset(offset), change));
        assert_eq!(restarted, state);
        configs.push(state.config().clone());
    }
    let service: ServiceName = "tilecast".parse().expect("a name");
    assert_eq!(configs[1].services[&service].warmup, Duration::from_millis(7));
    assert_ne!(configs[1].services, configs[0].services);
    assert_eq!(configs[2].services, configs[0].services);
    assert_eq!(configs[3].services, configs[0].services);
}

//! Operators who race each other.

use std::collections::{BTreeMap, BTreeSet};

use arbtest::arbitrary::{Result, Unstructured};
use jacinthbeam_config::{
    FileName,
    change::{Base, Change, FileChange},
    fold::{Outcome, State},
    publish::{Choice, Plan},
};
use jacinthbeam_types::prelude::*;

use super::operator::{Log, Operator, file, service};

const FILES: [&str; 2] = ["10.json", "20.json"];
const TEAMS: [&str; 2] = ["ice", "brine"];

#[test]
fn two_who_planned_on_the_same_view_both_succeed_on_different_files_only() {
    // Two operators plan while both see version 0, then their records reach the log one after the other.
    // On different files both are accepted; on the same file the later one is refused and told why.
    let mut log = Log::default();
    let mut first = Operator::default();
    first.save("10.json", &service("tilecast", "ice", 10));
    first.save("20.json", &service("brinedesk", "brine", 10));
    first.publish(&mut log);
    let (mut second, mut third) = (first.clone(), first.clone());
    first.save("10.json", &service("tilecast", "one", 10));
    second.save("20.json", &service("brinedesk", "two", 10));
    third.save("10.json", &service("tilecast", "three", 10));
    let plans = [&first, &second, &third].map(|operator| operator.plan(&log.state));
    let [one, two, three] = plans;
    let said =
        [first.finish(one, &mut log), second.finish(two, &mut log), third.finish(three, &mut log)];
    insta::assert_snapshot!(said.join("---\n"));
}

#[test]
fn record_that_arrives_late_does_not_undo_a_rollback() {
    // The answer to an append is lost and the record is still under way. Meanwhile another operator
    // publishes a change of the same file and then takes it back, so the content is the one the
    // late record is based on. The late record must not be accepted: the rollback is the newer
    // acceptance.
    let mut log = Log::default();
    let mut iva = Operator::default();
    let old = service("tilecast", "ice", 10);
    iva.save("10.json", &old);
    iva.publish(&mut log);
    let base = iva.synced.base(&file("10.json"));
    let set = |base: Base, text: &str| Change {
        files: vec![FileChange { name: file("10.json"), base, text: Some(text.to_owned()) }],
    };
    let late = set(base, &service("tilecast", "late", 10));
    let other = service("tilecast", "other", 10);
    assert_eq!(log.append(set(base, &other)), Outcome::Accepted(ConfigVersion(1)));
    let mut petr = Operator::default();
    petr.adopt(&log, |_| None);
    let rollback = set(petr.synced.base(&file("10.json")), &old);
    assert_eq!(log.append(rollback), Outcome::Accepted(ConfigVersion(2)));
    assert_eq!(log.append(late), Outcome::Conflict(vec![file("10.json")]));
    assert_eq!(*log.state.files()[&file("10.json")].text, *old);
}

#[test]
fn removed_file_does_not_come_back_from_an_older_folder() {
    // A file is removed. An older copy of the folder, once with and once without its hidden file,
    // is published. With it the file is stale and left alone; without it the operator is told that
    // it was removed.
    let mut log = Log::default();
    let mut iva = Operator::default();
    iva.save("10.json", &service("tilecast", "ice", 10));
    iva.save("20.json", &service("brinedesk", "brine", 10));
    iva.publish(&mut log);
    let mut copy = iva.clone();
    let mut bare = Operator { folder: iva.folder.clone(), ..Operator::default() };
    iva.remove("20.json");
    iva.publish(&mut log);
    let said = [copy.publish(&mut log), bare.publish(&mut log)];
    assert_eq!(log.state.files().keys().collect::<Vec<_>>(), [&file("10.json")]);
    insta::assert_snapshot!(said.join("---\n"));
}

#[test]
fn host_that_lags_behind_the_folder_is_not_planned_on() {
    let mut log = Log::default();
    let mut iva = Operator::default();
    iva.save("10.json", &service("tilecast", "ice", 10));
    iva.publish(&mut log);
    let lagging = log.state.clone();
    iva.save("10.json", &service("tilecast", "roads", 10));
    iva.publish(&mut log);
    iva.save("20.json", &service("brinedesk", "brine", 10));
    let plan = iva.plan(&lagging);
    let (folder, view) = (ConfigVersion(1), Some(ConfigVersion(0)));
    assert_eq!(plan, Plan::ViewTooOld { folder, view });
}

const CASES: u64 = 400;
const BYTES_A_CASE: u64 = 4096;

#[test]
fn no_interleaving_reverts_an_acceptance() {
    // Operators edit, plan on old views, append late or twice, copy folders, and adopt, in any
    // order. A record may touch a file only if no acceptance touched it after its operator looked.
    // Every reader that folds the log, from the start or from a stored state, comes to the same
    // result. The seeds are fixed, so that every run judges the same interleavings; the low half of
    // a seed is its length.
    for case in 0..CASES {
        arbtest::arbtest(interleave).seed(case << 32 | BYTES_A_CASE);
    }
}

fn interleave(u: &mut Unstructured<'_>) -> Result<()> {
    let mut log = Log::default();
    let mut views = vec![State::default()];
    let mut operators = vec![Operator::default(); 3];
    let mut pending: Vec<Change> = Vec::new();
    let mut touched: BTreeMap<FileName, ConfigVersion> = BTreeMap::new();
    for _ in 0..u.int_in_range(50..=150)? {
        let who = u.choose_index(operators.len())?;
        let name = *u.choose(&FILES)?;
        match u.int_in_range(0..=9)? {
            0 | 1 => {
                let text = service(name.trim_end_matches(".json"), u.choose(&TEAMS)?, 10);
                operators[who].save(name, &text);
            }
            2 => operators[who].remove(name),
            3 => operators[who] = operators[u.choose_index(3)?].clone(),
            4 => {
                let choice = *u.choose(&[None, Some(Choice::Keep), Some(Choice::Take)])?;
                operators[who].adopt(&log, |_| choice);
            }
            5 | 6 => {
                let view = if u.arbitrary()? { u.choose(&views)? } else { &log.state };
                let plan = if u.arbitrary()? {
                    operators[who].plan(view)
                } else {
                    operators[who].plan_rollback(view)
                };
                if let Plan::Publish { change, .. } = plan {
                    pending.push(change);
                }
            }
            7 | 8 if !pending.is_empty() => {
                let change = u.choose(&pending)?.clone();
                assert_honest(&change, &views);
                append(&mut log, change, &mut touched);
                views.push(log.state.clone());
            }
            _ => {
                let operator = &mut operators[who];
                operator.synced.refresh(&operator.folder, &log.state);
            }
        }
    }
    assert_folds_alike(&log);
    Ok(())
}

/// What a change says its operator saw was in force at that version.
fn assert_honest(change: &Change, views: &[State]) {
    for file in &change.files {
        let view = views.iter().find(|view| view.version() == file.base.seen);
        let view = view.expect("only versions that existed are seen");
        let hash = view.files().get(&file.name).map(|file| file.hash);
        assert_eq!(hash, file.base.hash, "{} at {:?}", file.name, file.base.seen);
    }
}

/// Appends and checks against a model that only remembers when each file was last touched.
fn append(log: &mut Log, change: Change, touched: &mut BTreeMap<FileName, ConfigVersion>) {
    let before = log.state.clone();
    let looked: BTreeMap<FileName, Option<ConfigVersion>> =
        change.files.iter().map(|file| (file.name.clone(), file.base.seen)).collect();
    let outcome = log.append(change);
    let names: BTreeSet<&FileName> =
        before.files().keys().chain(log.state.files().keys()).collect();
    let differs = |name: &&FileName| {
        let text = |state: &State| state.files().get(*name).map(|file| file.text.clone());
        text(&before) != text(&log.state)
    };
    for name in names.into_iter().filter(differs) {
        let Outcome::Accepted(version) = outcome else { panic!("{name} changed by {outcome:?}") };
        let looked = looked.get(name).expect("only named files change");
        assert!(*looked >= touched.get(name).copied(), "{name} of {touched:?} reverted");
        touched.insert(name.clone(), version);
    }
    assert!(log.state.version() >= before.version());
}

fn assert_folds_alike(log: &Log) {
    let mut other = State::default();
    for (at, change) in log.records.iter().enumerate() {
        other.apply(Offset(at as u64), change);
        let stored = serde_json::to_string(&other).expect("a state can be stored");
        other = serde_json::from_str(&stored).expect("a stored state can be read");
    }
    assert_eq!(other, log.state);
}

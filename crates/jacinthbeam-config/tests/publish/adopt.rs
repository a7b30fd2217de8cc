//! Bringing a folder up to date.

use jacinthbeam_config::publish::{Choice, Options, Plan, plan};

use super::operator::{Log, Operator, file, service};

/// A folder with an own edit of a file that others changed too, and one that is only out of date.
fn clash() -> (Log, Operator) {
    let mut log = Log::default();
    let mut iva = Operator::default();
    iva.save("10.json", &service("tilecast", "ice", 10));
    iva.save("20.json", &service("brinedesk", "brine", 10));
    iva.publish(&mut log);
    let mut petr = iva.clone();
    iva.save("10.json", &service("tilecast", "roads", 10));
    iva.save("20.json", &service("brinedesk", "salt", 10));
    iva.publish(&mut log);
    petr.save("10.json", &service("tilecast", "crews", 10));
    petr.save("30.json", &service("callbell", "crews", 10));
    (log, petr)
}

#[test]
fn undecided_file_stays_in_conflict() {
    let (mut log, mut petr) = clash();
    assert_eq!(petr.adopt(&log, |_| None), "write 20.json\nundecided 10.json\n");
    assert!(petr.publish(&mut log).starts_with("conflict: 10.json was changed by others"));
}

#[test]
fn undecided_file_that_others_removed_stays_in_conflict() {
    // Others removed a file that the folder, which has no hidden file, still has. The operator
    // adopts without a choice. That notes the newest version for the folder; were it noted for this
    // file too, it would come back.
    let (mut log, _) = clash();
    let mut iva = Operator::default();
    iva.adopt(&log, |_| None);
    let mut bare = Operator { folder: iva.folder.clone(), ..Operator::default() };
    iva.remove("20.json");
    iva.publish(&mut log);
    assert_eq!(bare.adopt(&log, |_| None), "undecided 20.json\n");
    assert!(bare.publish(&mut log).starts_with("conflict: 20.json was removed by others"));
}

#[test]
fn kept_file_replaces_what_is_in_force() {
    let (mut log, mut petr) = clash();
    petr.adopt(&log, |_| Some(Choice::Keep));
    insta::assert_snapshot!(petr.publish(&mut log));
}

#[test]
fn taken_file_is_in_sync_and_own_new_file_is_kept() {
    let (mut log, mut petr) = clash();
    assert_eq!(petr.adopt(&log, |_| Some(Choice::Take)), "write 10.json\nwrite 20.json\n");
    insta::assert_snapshot!(petr.publish(&mut log));
}

#[test]
fn old_text_is_put_back_only_when_named() {
    let (log, mut petr) = clash();
    petr.adopt(&log, |_| Some(Choice::Take));
    petr.remove("30.json");
    petr.save("10.json", &service("tilecast", "ice", 10));
    assert!(matches!(petr.plan(&log.state), Plan::Conflict(_)));
    let options = Options { put_back: [file("10.json")].into() };
    let plan = plan(&petr.folder, &petr.synced, &log.state, &options);
    assert!(matches!(plan, Plan::Publish { .. }));
}

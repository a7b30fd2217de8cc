use jacinthbeam_state::Why;

use crate::support::*;

const WITHOUT_TILECAST: &str = r#"{
  "services": {
    "archiv": { "team": "log", "division": "undivided", "concurrency": 6, "connections": 60 }
  }
}"#;

// An operator removes a service by mistake and puts it back. Domains that were cut off meanwhile
// never heard of it and still serve. Owners must be the same as before; a new division could give
// their keys to others.
#[test]
fn service_that_returns_has_the_owners_it_had() {
    let mut session = Session::divided();
    session.publish("10-services.json", Some(WITHOUT_TILECAST));
    assert_eq!(session.owner(0), None);
    let id = name("t1");
    assert_eq!(session.state.slots_of(&id).count(), 0);
    assert_eq!(session.state.to_release(&id).count(), 4);

    session.publish("10-services.json", Some(CONFIG));
    assert_eq!(session.owners(), "t1 t1 t1 t1 t2 t2 t2 t2");
    let record = found("tilecast", 8, &[("t4", 8)]);
    assert!(matches!(why(session.append("first division", record)), Why::Stale { .. }));
}

#[test]
fn division_of_a_removed_service_is_forgotten_once_all_slots_are_released() {
    let mut session = Session::divided();
    let first = release(&session.state, &[0, 1, 2, 3], "t1");
    let second = release(&session.state, &[4, 5, 6, 7], "t2");
    session.publish("10-services.json", Some(WITHOUT_TILECAST));
    session.append("removed", first);
    assert_eq!(session.state.retired.len(), 1);
    session.append("removed", second);
    assert!(session.state.retired.is_empty());
    session.publish("10-services.json", Some(CONFIG));
    let record = found("tilecast", 8, &[("t4", 8)]);
    assert!(session.append("first division", record).is_applied());
}

#[test]
fn refused_changes_say_what_the_operator_can_do() {
    let mut session = Session::divided();
    let config = CONFIG.replace(r#""slots": 8"#, r#""slots": 16"#);
    session.publish("10-services.json", Some(&config));
    session.publish("20-more.json", Some("{ \"services\": 7 }"));
    insta::assert_snapshot!(session.text);
}

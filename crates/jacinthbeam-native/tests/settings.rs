//! What operators read when settings are wrong.

use std::{fs, path::PathBuf};

use jacinthbeam_native::settings;

fn say(text: &str) -> String {
    match settings::read("entry.json", text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(problems) => problems.iter().map(|problem| format!("{problem}\n")).collect(),
    }
}

#[test]
fn the_example_is_accepted_and_written_back() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    let text = fs::read_to_string(path.join("entry-host.json")).unwrap();
    let read = settings::read("entry-host.json", &text).unwrap();
    assert_eq!(settings::read("again.json", &settings::write(&read)), Ok(read.clone()));
    insta::assert_debug_snapshot!(read);
}

#[test]
fn missing_fields_are_named_with_an_example() {
    insta::assert_snapshot!(say("{} // nothing"));
}

#[test]
fn wrong_fields_are_named_with_place_and_remedy() {
    insta::assert_snapshot!(say(r#"{
  "host": "entry ka 1", "domain": "kamloops-a", "callers": "localhost:80", "ready": "10.1.0.11:8080",
  "peers": "0.0.0.0:8081", "operators": "10.1.0.11:8080", "store": 7001, "cell": "a",
  "seeds": ["10.1.0.12"], "partitions": 0, "repeats": { "ratio": 2, "windw_ms": 5 }, "drain_within_ms": 0,
}"#));
}

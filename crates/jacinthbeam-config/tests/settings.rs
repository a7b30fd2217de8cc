//! What operators read when settings are wrong.

use jacinthbeam_config::settings;

fn say(text: &str) -> String {
    match settings::from_text("entry.json", text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(problems) => problems.iter().map(|problem| format!("{problem}\n")).collect(),
    }
}

#[test]
fn missing_fields_are_named_with_an_example() {
    insta::assert_snapshot!(say("{} // nothing"));
}

#[test]
fn wrong_fields_are_named_with_place_and_remedy() {
    insta::assert_snapshot!(say(r#"{
  "host": "entry ka 1", "cell": "kamloops-a", "callers": "localhost:80",
  "peers": "0.0.0.0:8081", "operators": "10.1.0.11:8080", "log": "10.1.0.11:8080", "hosts": 7001,
  "timing": { "lease": 1200, "margin_ms": 0 },
  "limits": { "max_message": "1KiB", "max_connections": 1e3 },
  "traffic_threads": 0,
}"#));
}

#[test]
fn a_host_may_be_reached_elsewhere_and_connect_from_one_of_its_addresses() {
    insta::assert_snapshot!(say(r#"{
  "host": "entry-ka-1", "cell": "kamloops-a", "callers": "0.0.0.0:8080", "peers": "0.0.0.0:8081",
  "advertise": "10.1.0.11:9081", "source": "10.1.0.11", "operators": "10.1.0.11:8082",
  "log": "10.1.0.2:7000", "hosts": "10.1.0.2:7001"
}"#));
    insta::assert_snapshot!(say(r#"{
  "host": "entry-ka-1", "cell": "kamloops-a", "callers": "0.0.0.0:8080", "peers": "0.0.0.0:8081",
  "advertise": "0.0.0.0:9081", "source": "10.1.0.11:0", "operators": "10.1.0.11:8082",
  "log": "10.1.0.2:7000", "hosts": "10.1.0.2:7001"
}"#));
}

#[test]
fn one_address_is_not_listened_on_twice() {
    insta::assert_snapshot!(say(r#"{
  "host": "entry-ka-1", "cell": "kamloops-a", "callers": "10.1.0.11:8080",
  "peers": "10.1.0.11:8081", "operators": "10.1.0.11:8080", "log": "10.1.0.2:7000", "hosts": "10.1.0.2:7001"
}"#));
}

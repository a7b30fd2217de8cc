//! What operators read when files are wrong, and how files merge.

use std::fmt::Write;

use arbtest::arbitrary::{Result, Unstructured};
use jacinthbeam_config::{FileName, check::check, document};

fn say(files: &[(&str, &str)]) -> String {
    let files: Vec<(FileName, &str)> =
        files.iter().map(|(name, text)| (name.parse().expect("a right name"), *text)).collect();
    let mut out = String::new();
    match check(files.iter().map(|(name, text)| (name, *text))) {
        Ok(checked) => {
            for (path, place) in &checked.origins.0 {
                writeln!(out, "{path} is set at {place}").expect("a string takes everything");
            }
        }
        Err(problems) => {
            for problem in problems {
                writeln!(out, "{problem}").expect("a string takes everything");
            }
        }
    }
    out
}

const TILES: &str = r#"// Tiles
{
  "services": {
    "tilecast": {
      "team": "ice", "keyed": true, "connections": 130, "warm_up_ms": 5,
    },
  },
}"#;

#[test]
fn later_file_wins_and_origins_say_so() {
    let limits = r#"{ "services": { "tilecast": { "warm_up_ms": 10, "connections": 60 } } }"#;
    let reset =
        r#"{ "services": { "tilecast": { "warm_up_ms": null } }, "limits": { "body": "1KiB" } }"#;
    insta::assert_snapshot!(say(&[("10.json", TILES), ("20.jsonc", limits), ("30.json", reset)]));
}

#[test]
fn wrong_fields_are_named_with_place_and_remedy() {
    let wrong = r#"{
  "sevices": {},
  "services": {
    "tilecast": { "kyed": true, "connections": "3", "warm_up_ms": -1, "health_path": "healthz" },
    "brine desk": {},
    "callbell": { "team": "", "keyed": { "slots": 0 }, "connections": 0 },
    "yard": { "team": "a", "connections": 1, "whatever": [], "admission": "on" },
  },
  "routes": {
    "tiles": { "prefix": "tiles/", "service": "tilecast", "timeout_ms": 500, "objective_ms": 600 },
    "orders": { "prefix": "/orders", "split": { "yard": 1, "callbell": -1 } },
    "both": { "prefix": "/both/", "service": "yard", "split": { "yard": 1 } },
    "nobody": { "prefix": "/nobody/", "split": { "yard": 0 } },
    "gone": { "prefix": "/gone/", "service": "former", "attempts": 0, "priority": "high" },
    "empty": {},
  },
  "limits": { "body": "1 parsec", "heads": 3, "idle_timeout_ms": 0 },
}"#;
    insta::assert_snapshot!(say(&[("10.json", TILES), ("20.json", wrong)]));
}

/// Guards against a switch that an operator sets and that has no effect: keyed services have no admission by rank.
#[test]
fn admission_of_a_keyed_service_can_not_be_off() {
    let off = r#"{ "services": { "tilecast": { "admission": "off" } } }"#;
    insta::assert_snapshot!(say(&[("10.json", TILES), ("20.json", off)]));
}

#[test]
fn problems_of_all_unreadable_files_are_given_at_once() {
    let files = [
        ("10.json", "{\n  \"services\": {\n    \"tilecast\": { \"team\": ice }\n  }\n}"),
        ("20.json", "{ \"limits\": {}, \"limits\": {} }"),
        ("30.json", "[1, 2]"),
        ("40.json", "{ 'limits': {} }"),
        ("50.json", "{ \"services\": {"),
        ("60.json", "// only a comment"),
        ("70.json", "{ \"č\": \"ž\" \"limits\": {} }"),
    ];
    insta::assert_snapshot!(say(&files));
}

#[test]
fn any_text_parses_or_is_refused_without_panic() {
    for case in 0..500_u64 {
        arbtest::arbtest(parse_some_text).seed(case << 32 | 256);
    }
}

fn parse_some_text(u: &mut Unstructured<'_>) -> Result<()> {
    // Words of the format make up most of the text, so that it gets past the parser now and then.
    let words = [
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"services\"",
        "\"tilecast\"",
        "\"warm_up_ms\"",
        "\"keyed\"",
        "null",
        "-1",
        "1e999",
        "18446744073709551616",
        "true",
        "//",
        "/*",
        "\n",
        "\"\\ud800\"",
    ];
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=60)? {
        text += u.choose(&words)?;
        text += u.arbitrary::<Option<&str>>()?.unwrap_or_default();
    }
    let braced = format!("{{ \"services\": {{ \"tilecast\": {text} }} }}");
    for text in [&text, &braced] {
        let _ = document::parse("a.json".into(), text);
        let _ = say(&[("10.json", TILES), ("20.json", text)]);
    }
    Ok(())
}

#[test]
fn deep_nesting_is_refused_without_panic() {
    let deep = "[".repeat(100_000);
    insta::assert_snapshot!(say(&[("10.json", &deep)]));
}

/// An operator mistypes one field of a service. The routes to it are right, and are not called wrong beside it.
#[test]
fn routes_to_a_wrong_service_are_not_called_wrong() {
    let wrong = r#"{ "services": { "yard": { "team": "a", "conections": 1 } },
      "routes": { "yard": { "prefix": "/yard/", "service": "yard" } } }"#;
    let told = say(&[("10.json", wrong)]);
    assert!(!told.contains("/routes/"), "{told}");
    assert!(told.contains("/services/yard/conections: unknown field"), "{told}");
}

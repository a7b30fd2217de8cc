//! The program `jacinthbeam-standin`.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jacinthbeam-standin")).args(args).output().unwrap()
}

fn text(output: &Output) -> String {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text += &String::from_utf8_lossy(&output.stderr);
    text
}

#[test]
fn each_part_listens_and_stops_after_its_time() {
    let parts: [&[&str]; 3] = [
        &["log", "--retain-records", "5", "--for", "0"],
        &["hosts", "--lag-ms", "5", "--for", "0"],
        &["backend", "--server", "b1", "--service", "s", "--for", "0"],
    ];
    for args in parts {
        let output = run(args);
        let text = text(&output);
        assert!(output.status.success(), "{args:?}: {text}");
        assert!(text.contains("standin: listens on 127.0.0.1:"), "{args:?}: {text}");
    }
}

#[test]
fn unreadable_host_list_is_named() {
    let output = run(&["hosts", "--list", "no-such-file.json", "--for", "0"]);
    let text = text(&output);
    assert!(!output.status.success());
    assert!(text.contains("no-such-file.json is no list of hosts"), "{text}");
}

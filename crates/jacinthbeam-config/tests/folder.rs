//! Reading a folder while others save to it.

use std::{cell::RefCell, collections::VecDeque, fs, io, path::PathBuf, time::Duration};

use jacinthbeam_config::folder::{Error, Options, Snapshot, list, snapshot};

fn files(files: &[(&str, &str)]) -> Snapshot {
    let file = |(name, text): &(&str, &str)| (name.parse().expect("a right name"), (*text).into());
    Snapshot { files: files.iter().map(file).collect() }
}

/// Takes a snapshot from a reader that gives these results one after the other.
fn take(reads: Vec<Result<Snapshot, Error>>) -> (Result<Snapshot, Error>, Vec<Duration>) {
    let options = Options { apart: Duration::from_millis(250), reads: reads.len() as u32 };
    let reads = RefCell::new(VecDeque::from(reads));
    let mut pauses = Vec::new();
    let read = || reads.borrow_mut().pop_front().expect("not read more often than allowed");
    let taken = snapshot(options, read, |pause| pauses.push(pause));
    (taken, pauses)
}

#[test]
fn half_saved_folder_is_not_taken() {
    // An operator saves two files that belong together while another one publishes.
    // The first read sees only one of them, the second sees the other half written.
    // Only when two reads agree is the folder taken; a pause lies between any two.
    let whole = files(&[("10.json", "{}"), ("20.json", "{ \"limits\": {} }")]);
    let (taken, pauses) = take(vec![
        Ok(files(&[("10.json", "{}")])),
        Ok(files(&[("10.json", "{}"), ("20.json", "{ \"lo")])),
        Ok(whole.clone()),
        Ok(whole.clone()),
    ]);
    assert_eq!(taken.expect("the folder settled"), whole);
    assert_eq!(pauses, [Duration::from_millis(250); 3]);
}

#[test]
fn failed_read_agrees_with_none() {
    // An editor replaces a file between the listing of the folder and the reading of the file.
    // The read fails; the reads before and after it saw the same, but something was going on.
    let gone = || Err(Error::File("10.json".into(), io::ErrorKind::NotFound.into()));
    let (taken, _) = take(vec![Ok(files(&[])), gone(), Ok(files(&[]))]);
    assert!(matches!(taken, Err(Error::Unsettled)));
    let (taken, _) = take(vec![Ok(files(&[])), gone(), gone()]);
    assert!(matches!(taken, Err(Error::File(name, _)) if name == "10.json"));
}

fn scratch(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("the folder for tests is writable");
    path
}

#[test]
fn only_configuration_files_are_read() {
    let path = scratch("only-configuration-files");
    let wanted = [("10-a.json", "{}"), ("20-b.jsonc", "// b")];
    let others = [(".jacinthbeam.json", "{}"), ("README.md", "x"), ("10-a.json~", "x")];
    for (name, text) in wanted.iter().chain(&others) {
        fs::write(path.join(name), text).expect("the folder for tests is writable");
    }
    fs::create_dir(path.join("old.json")).expect("the folder for tests is writable");
    assert_eq!(list(&path).expect("readable"), files(&wanted));
}

#[test]
fn unreadable_files_are_named() {
    let path = scratch("unreadable-files");
    let mut said = vec![list(&path.join("absent")).expect_err("no folder").to_string()];
    let too_large = vec![b' '; 200_000];
    let wrong: [(&str, &[u8]); 3] =
        [("a b.json", b"{}"), ("latin.json", b"\xe9"), ("large.json", &too_large)];
    for (name, text) in wrong {
        fs::write(path.join(name), text).expect("the folder for tests is writable");
        said.push(list(&path).expect_err("a wrong file").to_string());
        fs::remove_file(path.join(name)).expect("the file is there");
    }
    insta::assert_snapshot!(said.join("\n"));
}

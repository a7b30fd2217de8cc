//! Publications that meet others or the log's failures on their way.

use jacinthbeam::{
    config::{
        ContentHash,
        change::{Base, Change, FileChange},
    },
    platform::log::Client,
    state::{CONTROL, Envelope, Record, RecordId},
    types::prelude::*,
};
use jacinthbeam_cli::{
    command::Error,
    control::{Reader, TIMEOUT},
    publication::{Options, pending, publish},
};

use crate::support::*;

const FILE: &str = "10-services.json";

fn text(queue: u32) -> String {
    format!(
        "{{ \"services\": {{ \"tilecast\": {{ \"team\": \"t\", \"division\": {{ \"keyed\": {{ \"slots\": 8 }} }}, \
         \"concurrency\": 3, \"connections\": 130, \"queue\": {queue} }} }} }}"
    )
}

/// The record of another operator who saw `seen` in version `version`.
fn others(text: &str, seen: Option<&str>, version: Option<ConfigVersion>) -> Vec<u8> {
    let base = Base { hash: seen.map(ContentHash::of), seen: version };
    let name = FILE.parse().expect("a file's name");
    let change = Change { files: vec![FileChange { name, base, text: Some(text.to_owned()) }] };
    let id = RecordId { incarnation: Incarnation(77), sequence: 0 };
    let envelope = Envelope { id, why: "others".into(), record: Record::Config(change) };
    envelope.encode().expect("a short record")
}

fn options(desk: &Desk, folder: &Folder, run: u64) -> Options {
    Options::new(folder.0.clone(), desk.log.addr(), Incarnation(run))
}

async fn run(desk: &Desk, options: &Options) -> Result<(), Error> {
    desk.screen.with(async |terminal| publish(options, terminal).await).await
}

/// Queue of the service in force.
async fn in_force(desk: &Desk) -> u32 {
    let mut reader = Reader::open(desk.log.addr());
    reader.to_end(|_| ()).await.expect("the log is up");
    let service = "tilecast".parse().expect("a service's name");
    reader.state().service(&service).expect("it is configured").queue
}

// The operator is told of a conflict, although the folder was in sync when the program looked:
// another operator's record comes between this program's look at the log and its append. The log's
// order decides, and the later record is void.
#[tokio::test]
async fn record_of_others_comes_first() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    let log = desk.log.clone();
    desk.screen.on_line(move |line| {
        if line.starts_with("add") {
            log.append(CONTROL, others(&text(2), None, None).into());
        }
    });
    let ended = run(&desk, &options(&desk, &folder, 1)).await;
    assert_eq!(ended, Err(Error::Refused("nothing was published".into())));
    let shown = desk.screen.text();
    assert!(
        shown.contains("conflict: 10-services.json was changed by others in version 0"),
        "{shown}"
    );
    assert_eq!(in_force(&desk).await, 2);
    assert_eq!(pending::load(&folder.0).expect("readable"), None);
}

// The log writes the record, loses the answer and goes down: the operator is told that it is in
// doubt. Meanwhile others change the file again. The next run finds the record and says that it was
// accepted; the folder is just older now. Without the note in the folder that run would call the
// operator's own text a conflict.
#[tokio::test]
async fn publication_left_in_doubt_is_found_by_the_next_run() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    desk.log.lose_next_answers(1);
    let log = desk.log.clone();
    desk.screen.on_line(move |line| {
        if line.starts_with("no answer") {
            log.set_down(true);
        }
    });
    let impatient = Options { patience: std::time::Duration::ZERO, ..options(&desk, &folder, 1) };
    let ended = run(&desk, &impatient).await;
    assert!(matches!(&ended, Err(Error::InDoubt(why)) if why.contains("record 1-0")), "{ended:?}");

    desk.screen.on_line(|_| ());
    desk.log.set_down(false);
    let seen = Some(ConfigVersion(0));
    desk.log.append(CONTROL, others(&text(2), Some(&text(1)), seen).into());
    assert_eq!(run(&desk, &options(&desk, &folder, 2)).await, Ok(()));
    let shown = desk.screen.text();
    assert!(shown.contains("record 1-0 of an earlier run was accepted: version 0"), "{shown}");
    assert!(shown.contains("left alone: 10-services.json is older here"), "{shown}");
    assert_eq!(in_force(&desk).await, 2);
    assert_eq!(pending::load(&folder.0).expect("readable"), None);
}

// An append is answered late, after the program gave up on it and appended the same record again,
// and after others changed the file on top of it. The late copy changes nothing: what others
// accepted is not reverted.
#[tokio::test]
async fn late_copy_of_a_record_reverts_nothing() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    assert_eq!(run(&desk, &options(&desk, &folder, 1)).await, Ok(()));
    let (_, copy) = desk.log.records(CONTROL).pop().expect("the operator's record");
    let next = others(&text(2), Some(&text(1)), Some(ConfigVersion(0)));
    desk.log.append(CONTROL, next.into());
    desk.log.append(CONTROL, copy);
    assert_eq!(in_force(&desk).await, 2);
}

// The connection breaks before the log has written anything. The program reads the log first, does
// not find its record, and appends it again under the same id.
#[tokio::test]
async fn record_that_is_missing_is_appended_again() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    let swallowing = swallow_first_append(desk.log.addr()).await;
    let options = Options::new(folder.0.clone(), swallowing, Incarnation(1));
    assert_eq!(run(&desk, &options).await, Ok(()));
    let shown = desk.screen.text();
    assert!(shown.contains("record 1-0 is not in the log, appends it again"), "{shown}");
    assert!(shown.contains("accepted: version 0"), "{shown}");
    assert_eq!(desk.log.records(CONTROL).len(), 1);
}

/// Passes requests on to the log, but closes the connection on which the first append comes, unanswered.
async fn swallow_first_append(log: std::net::SocketAddr) -> std::net::SocketAddr {
    use tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    };
    let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let mut swallowed = false;
        while let Ok((mut from, _)) = listener.accept().await {
            let mut head = vec![0; 4096];
            let Ok(len) = from.read(&mut head).await else { continue };
            if !swallowed && head.starts_with(b"POST") {
                swallowed = true;
                continue;
            }
            let Ok(mut to) = TcpStream::connect(log).await else { continue };
            tokio::spawn(async move {
                // Both ends see what the other does.
                if to.write_all(&head[..len]).await.is_ok() {
                    let _ = tokio::io::copy_bidirectional(&mut from, &mut to).await;
                }
            });
        }
    });
    addr
}

// Records have expired, so the folder is compared with a state that was loaded from a snapshot.
#[tokio::test]
async fn folder_is_compared_with_a_snapshot() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    assert_eq!(run(&desk, &options(&desk, &folder, 1)).await, Ok(()));
    let mut reader = Reader::open(desk.log.addr());
    reader.to_end(|_| ()).await.expect("the log is up");
    let client = Client::open(desk.log.addr(), TIMEOUT);
    for (sequence, record) in (0..).zip(reader.state().to_snapshot_parts().expect("a small state"))
    {
        let id = RecordId { incarnation: Incarnation(9), sequence };
        let envelope = Envelope { id, why: "snapshot".into(), record };
        let buf = envelope.encode().expect("a short record");
        client.append(CONTROL, buf).await.expect("the log is up");
    }
    let keep_last = jacinthbeam_standin::log::Retention { records: Some(1), age: None };
    desk.log.set_retention(keep_last);
    folder.write(FILE, &text(2));
    assert_eq!(run(&desk, &options(&desk, &folder, 2)).await, Ok(()));
    assert_eq!(desk.log.records(CONTROL).len(), 1);
    assert!(desk.screen.text().contains("change 10-services.json"), "{}", desk.screen.text());
}

// All records have expired and no snapshot was written: nobody knows what is in force, and nothing
// is published.
#[tokio::test]
async fn log_without_snapshot_is_refused() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    assert_eq!(run(&desk, &options(&desk, &folder, 1)).await, Ok(()));
    let nothing = jacinthbeam_standin::log::Retention { records: Some(0), age: None };
    desk.log.set_retention(nothing);
    folder.write(FILE, &text(2));
    let ended = run(&desk, &options(&desk, &folder, 2)).await;
    assert!(
        matches!(&ended, Err(Error::Unavailable(why)) if why.contains("no whole snapshot")),
        "{ended:?}"
    );
}

// Others published the folder's text already; a dry run says so and notes nothing, so the folder is
// as it was.
#[tokio::test]
async fn dry_run_leaves_the_folder_as_it_is() {
    let desk = Desk::new();
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    desk.log.append(CONTROL, others(&text(1), None, None).into());
    let dry = Options { dry_run: true, ..options(&desk, &folder, 1) };
    assert_eq!(run(&desk, &dry).await, Ok(()));
    folder.write(FILE, &text(2));
    let ended = run(&desk, &dry).await;
    assert!(
        matches!(ended, Err(Error::Refused(_))),
        "the folder has no note of version 0: {ended:?}"
    );
    assert_eq!(std::fs::read_dir(&folder.0).expect("a folder").count(), 1);
    assert_eq!(desk.log.records(CONTROL).len(), 1);
}

// A folder that was in sync with one log is published to another one by mistake.
#[tokio::test]
async fn another_log_is_refused() {
    let (desk, other) = (Desk::new(), Desk::new());
    let folder = Folder::new();
    folder.write(FILE, &text(1));
    assert_eq!(run(&desk, &options(&desk, &folder, 1)).await, Ok(()));
    folder.write(FILE, &text(2));
    let ended = run(&desk, &options(&other, &folder, 2)).await;
    assert!(
        matches!(&ended, Err(Error::Refused(why)) if why.contains("is --log the log")),
        "{ended:?}"
    );
    assert!(other.log.records(CONTROL).is_empty());
}

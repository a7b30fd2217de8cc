//! Lines of the log: bounded, never in the way, and enough to tell the story of a request.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use jacinthbeam_host::{
    explain::{Error, Line, timeline},
    process::{
        logs::{Queue, Quota},
        replica::StoreReplica,
    },
    version::Leaving,
};
use jacinthbeam_route::Server;
use jacinthbeam_types::prelude::*;
use tracing_subscriber::fmt::MakeWriter;

/// An output that is read by nobody until it is told to go on.
struct Stuck {
    go_on: mpsc::Receiver<()>,
    seen: mpsc::Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.go_on.recv().map_err(io::Error::other)?;
        self.seen.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn say(queue: &Queue, text: &str) {
    queue.make_writer().write_all(text.as_bytes()).unwrap();
}

/// Whoever reads standard output has stopped. Lines are dropped then, and serving goes on; once somebody reads again, the log
/// says how many lines are missing.
#[test]
fn a_flood_that_nobody_reads_holds_up_nothing_and_is_counted() {
    let (queue, lines) = Queue::new(10);
    let (go_on, may_go_on) = mpsc::channel();
    let (seen, written) = mpsc::channel();
    let end = queue.clone();
    std::thread::spawn(move || end.write_to(&lines, Stuck { go_on: may_go_on, seen }));
    (0..1000).for_each(|n| say(&queue, &format!("{n}\n")));
    drop(queue);
    let mut text = String::new();
    let accounted = |text: &str| {
        let whole = text.lines().filter(|line| line.parse::<u32>().is_ok()).count();
        let counts = text.split("\"count\":").skip(1);
        let counts = counts.map(|rest| rest.split('}').next().unwrap().parse::<usize>().unwrap());
        (whole, counts.sum::<usize>())
    };
    // Each line is either written or counted, once.
    while accounted(&text).0 + accounted(&text).1 < 1000 {
        go_on.send(()).unwrap();
        text += std::str::from_utf8(&written.recv().unwrap()).unwrap();
    }
    let (whole, dropped) = accounted(&text);
    assert!(whole + dropped == 1000 && whole >= 10, "{whole} written, {dropped} dropped");
}

#[test]
fn a_quota_bounds_a_kind_and_tells_what_it_left_out() {
    let begun = Instant::now();
    let mut quota = Quota::new(3);
    let taken: Vec<_> = (0..5).map(|_| quota.take(begun)).collect();
    assert_eq!(taken, [Some(0), Some(0), Some(0), None, None]);
    assert_eq!(quota.take(begun + Duration::from_millis(1100)), Some(2));
}

fn line(host: &str, second: &str, rest: &str) -> Line {
    let text = format!("{{\"timestamp\":\"2026-12-02T20:00:{second}Z\",{rest}}}");
    Line::read(host, &text).unwrap()
}

#[test]
fn a_story_holds_what_was_said_of_its_servers() {
    let lines = vec![
        line(
            "h1",
            "05.4",
            r#""part":"request","event":"sent","id":"\"a1\"","server":"i-1","outcome":"not-run","took_ms":3"#,
        ),
        line(
            "h1",
            "05.9",
            r#""part":"request","event":"refused","id":"\"a1\"","reason":"Moving","took_ms":410"#,
        ),
        line("h2", "05.1", r#""part":"grant","event":"release","server":"i-1","range":"4-9""#),
        line("h2", "05.2", r#""part":"grant","event":"release","server":"i-7","range":"4-9""#),
        line("h3", "05.2", r#""part":"config","event":"in-force","version":7"#),
        line("h1", "05.6", r#""part":"servers","event":"gone","count":9,"servers":"i-0 i-1 i-2""#),
        line("h1", "05.7", r#""part":"servers","event":"gone","count":9,"servers":"i-3 i-12""#),
        line("h1", "40.0", r#""part":"grant","event":"release","server":"i-1""#),
        line("h1", "05.5", r#""part":"request","event":"sent","id":"\"b2\"","server":"i-1""#),
    ];
    let told: Vec<String> =
        timeline("a1", lines.clone()).unwrap().iter().map(Line::to_string).collect();
    assert_eq!(
        told,
        [
            "2026-12-02T20:00:05.1Z h2 grant release range=4-9 server=i-1",
            "2026-12-02T20:00:05.4Z h1 request sent outcome=not-run server=i-1 took_ms=3",
            "2026-12-02T20:00:05.6Z h1 servers gone count=9 servers=i-0 i-1 i-2",
            "2026-12-02T20:00:05.9Z h1 request refused reason=Moving took_ms=410",
        ]
    );
    let unknown = timeline("c3", lines).unwrap_err();
    assert!(matches!(&unknown, Error::Unknown { id, lines: 9 } if id == "c3"), "{unknown}");
}

#[test]
fn lines_that_are_no_objects_are_passed_over() {
    assert_eq!(Line::read("h1", "thread panicked"), None);
    assert_eq!(Line::read("h1", "{\"part\":\"request\"}"), None);
}

/// A log that is kept.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines that are written while `f` runs.
fn written(f: impl FnOnce()) -> Vec<String> {
    let kept = Kept::default();
    let writer = kept.clone();
    let logger = tracing_subscriber::fmt().json().flatten_event(true);
    let logger = logger.with_writer(move || writer.clone());
    tracing::subscriber::with_default(logger.finish(), f);
    let text = String::from_utf8(std::mem::take(&mut *kept.0.lock().unwrap())).unwrap();
    text.lines().map(str::to_owned).collect()
}

/// A fleet of 295 hosts with 809 backend servers starts, and loses a failure domain. A line for each server at each host were 239,000 lines for
/// the one and 47,000 for the other; each host has a core of a tenth to write them with.
#[test]
fn many_servers_are_told_of_in_one_line() {
    let now = Instant::now();
    let mut known = StoreReplica::default();
    let server = |n: u32| Server {
        id: format!("i-{n}").parse().unwrap(),
        service: "tiles".parse().unwrap(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)),
        domain: "a".parse().unwrap(),
        slots: 3,
        draining: false,
        warmup_left: Duration::ZERO,
        cold_rate: None,
    };
    let take = |known: &mut StoreReplica, at: u64, of: std::ops::Range<u32>, there: bool| {
        for n in of {
            let name = format!("i-{n}").parse().unwrap();
            let server = there.then(|| server(n));
            known.apply_server(name, Offset(at), server, Leaving::Since(now));
        }
        known.mark_servers_current(Offset(at + 1), Some(now), true, now);
    };
    let start = written(|| take(&mut known, 0, 0..809, true));
    assert_eq!(start.len(), 1);
    assert!(start[0].contains(r#""event":"joined","count":809"#), "{}", start[0]);
    let cut = written(|| take(&mut known, 1, 0..160, false));
    assert_eq!(cut.len(), 1);
    assert!(cut[0].contains(r#""event":"gone","count":160"#) && cut[0].contains(" i-159"));
    let few = written(|| take(&mut known, 2, 200..203, false));
    assert_eq!(few.len(), 3);
    assert!(few[2].contains(r#""event":"gone","server":"i-202""#), "{}", few[2]);
}

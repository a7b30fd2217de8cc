//! Log lines: bounded, never blocking, and sufficient for the timeline of a request.

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

/// An output whose writes block until the test allows each of them.
struct Stuck {
    permits: mpsc::Receiver<()>,
    sent: mpsc::Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        self.sent.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn say(queue: &Queue, text: &str) {
    queue.make_writer().write_all(text.as_bytes()).unwrap();
}

/// Guards against a host that blocks when the reader of its standard output stops reading. Lines are dropped instead, and the log
/// says how many are missing once it is read again.
#[test]
fn lines_are_dropped_and_counted_while_the_output_is_blocked() {
    let (queue, lines) = Queue::new(10);
    let (permits, permitted) = mpsc::channel();
    let (sent, written) = mpsc::channel();
    let writer = queue.clone();
    std::thread::spawn(move || writer.write_to(&lines, Stuck { permits: permitted, sent }));
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
        permits.send(()).unwrap();
        text += std::str::from_utf8(&written.recv().unwrap()).unwrap();
    }
    let (whole, dropped) = accounted(&text);
    assert!(whole + dropped == 1000 && whole >= 10, "{whole} written, {dropped} dropped");
}

/// Guards against lines of one kind that flood the log, and against lines left out without a count.
#[test]
fn a_quota_limits_lines_and_reports_how_many_it_left_out() {
    let start = Instant::now();
    let mut quota = Quota::new(3);
    let allowed: Vec<_> = (0..5).map(|_| quota.take(start)).collect();
    assert_eq!(allowed, [Some(0), Some(0), Some(0), None, None]);
    assert_eq!(quota.take(start + Duration::from_millis(1100)), Some(2));
}

fn line(host: &str, second: &str, rest: &str) -> Line {
    let text = format!("{{\"timestamp\":\"2026-12-02T20:00:{second}Z\",{rest}}}");
    Line::read(host, &text).unwrap()
}

/// Guards against a timeline that lacks lines about the servers of its request, or has lines about others.
#[test]
fn a_timeline_includes_lines_about_the_servers_of_its_request() {
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
    let shown: Vec<String> =
        timeline("a1", lines.clone()).unwrap().iter().map(Line::to_string).collect();
    assert_eq!(
        shown,
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

/// Guards against a refusal by rank without the loss of the plan that led to it, and against lines about the load of other services.
#[test]
fn the_timeline_contains_the_load_exchange_of_its_service_only() {
    let load = r#""part":"load","event":"plan-lost","service":"#;
    let lines = vec![
        line("h1", "03.0", &format!("{load}\"rides\"")),
        line("h1", "03.1", &format!("{load}\"refunds\"")),
        line("h2", "03.2", &format!("{load}\"rides\"")),
        line(
            "h1",
            "05.0",
            r#""part":"request","event":"refused","id":"\"a1\"","service":"rides","ahead":4"#,
        ),
    ];
    let shown: Vec<String> = timeline("a1", lines).unwrap().iter().map(Line::to_string).collect();
    assert_eq!(
        shown,
        [
            "2026-12-02T20:00:03.0Z h1 load plan-lost service=rides",
            "2026-12-02T20:00:05.0Z h1 request refused ahead=4 service=rides",
        ]
    );
}

/// Guards against other output in a log file, such as a panic message, that fails the command.
#[test]
fn lines_that_are_not_json_objects_with_a_time_are_skipped() {
    assert_eq!(Line::read("h1", "thread panicked"), None);
    assert_eq!(Line::read("h1", "{\"part\":\"request\"}"), None);
}

/// A writer that collects the log.
#[derive(Clone, Default)]
struct Collected(Arc<Mutex<Vec<u8>>>);

impl Write for Collected {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the lines logged while `f` runs.
fn written(f: impl FnOnce()) -> Vec<String> {
    let collected = Collected::default();
    let writer = collected.clone();
    let logger = tracing_subscriber::fmt().json().flatten_event(true);
    let logger = logger.with_writer(move || writer.clone());
    tracing::subscriber::with_default(logger.finish(), f);
    let text = String::from_utf8(std::mem::take(&mut *collected.0.lock().unwrap())).unwrap();
    text.lines().map(str::to_owned).collect()
}

/// Guards against a flood of lines when a fleet starts or loses a failure domain. With 295 hosts and 809 backend servers, a line for
/// each server at each host makes 239,000 lines at the start and 47,000 at the loss, and each host has a tenth of a core.
#[test]
fn a_large_batch_of_servers_is_logged_in_one_line() {
    let now = Instant::now();
    let mut replica = StoreReplica::default();
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
    let apply =
        |replica: &mut StoreReplica, at: u64, numbers: std::ops::Range<u32>, present: bool| {
            for n in numbers {
                let name = format!("i-{n}").parse().unwrap();
                let server = present.then(|| server(n));
                replica.apply_server(name, Offset(at), server, Leaving::Since(now));
            }
            replica.mark_servers_current(Offset(at + 1), Some(now), true, now);
        };
    let start = written(|| apply(&mut replica, 0, 0..809, true));
    assert_eq!(start.len(), 1);
    assert!(start[0].contains(r#""event":"joined","count":809"#), "{}", start[0]);
    let cut = written(|| apply(&mut replica, 1, 0..160, false));
    assert_eq!(cut.len(), 1);
    assert!(cut[0].contains(r#""event":"gone","count":160"#) && cut[0].contains(" i-159"));
    let few = written(|| apply(&mut replica, 2, 200..203, false));
    assert_eq!(few.len(), 3);
    assert!(few[2].contains(r#""event":"gone","server":"i-202""#), "{}", few[2]);
}

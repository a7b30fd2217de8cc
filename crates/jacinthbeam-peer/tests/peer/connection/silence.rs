use std::time::Duration;

use jacinthbeam_peer::connection::{
    Limits,
    silence::{Finding, Watch},
};
use tokio::time::Instant;

/// Runs a watch at its own pace until `end`, from a PING at 0 on; gives what it found, and when.
fn run(
    heard: impl Fn(Duration) -> Duration,
    paused: Option<(Duration, Duration)>,
    end: Duration,
) -> Vec<(u128, Finding)> {
    let start = Instant::now();
    let mut watch = Watch::new(Limits::client().silence, start);
    let every = watch.every();
    let mut found = Vec::new();
    let mut now = Duration::ZERO;
    while now <= end {
        if !paused.is_some_and(|(from, to)| (from..to).contains(&now)) {
            let finding = watch.check(start + now, start + heard(now), true);
            if finding != Finding::Well && found.last().map(|(_, last)| *last) != Some(finding) {
                found.push((now.as_millis(), finding));
            }
        }
        now += every;
    }
    found
}

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn silence_leads_to_ping_then_suspicion_then_the_end() {
    let found = run(|_| Duration::ZERO, None, MS(2200));
    let expected = [(200, Finding::Ping), (600, Finding::Suspect), (2200, Finding::Silent)];
    assert_eq!(found, expected);
}

#[test]
fn answered_pings_keep_a_slow_request_alive() {
    // A handler works for ten seconds and sends nothing. Every PING is answered, so that the connection stays.
    let found = run(|now| now.saturating_sub(MS(100)), None, MS(10_000));
    assert_eq!(found, []);
    let found = run(|now| now.saturating_sub(MS(250)), None, MS(10_000));
    assert!(found.iter().all(|(_, finding)| *finding == Finding::Ping), "{found:?}");
}

#[test]
fn pause_of_this_process_is_no_silence_of_the_peer() {
    // This process is paused for five seconds just after a PING. When it runs again the answer lies unread in
    // the socket; the watch must not give up the connection before it was read.
    let read_at = MS(5500);
    let heard = |now| if now < read_at { Duration::ZERO } else { now };
    let found = run(heard, Some((MS(300), MS(5400))), MS(6000));
    assert_eq!(found, [(200, Finding::Ping)]);
}

#[test]
fn idle_connection_is_left_alone() {
    let start = Instant::now();
    let mut watch = Watch::new(Limits::client().silence, start);
    assert_eq!(watch.check(start + MS(5000), start, false), Finding::Well);
}

//! Who attends a backend server.

use std::time::{Duration, Instant};

use jacinthbeam_lease::{Members, Timing, membership::MAX_MEMBERS};
use jacinthbeam_types::prelude::*;

use crate::support::{heard, name};

/// A host that was paused has heard nobody for long. Did it believe to be alone, it would take every server
/// at once.
#[test]
fn a_host_that_hears_nobody_listens_before_it_elects_itself() {
    let (timing, start) = (Timing::default(), Instant::now());
    let mut members = Members::new(start, heard("a", 1), &timing);
    let later = start + 2 * timing.heartbeat_every;
    let server: ServerId = name("s1");
    assert_eq!(members.attendant_of(start, &server), None);
    assert_eq!(members.attendant_of(later, &server), Some(&name("a")));
    let resumed = later + Duration::from_secs(5);
    members.beat(resumed);
    assert_eq!(members.attendant_of(resumed, &server), None);
}

/// A server that nobody reaches still has somebody in charge, who notices its return or evicts it.
#[test]
fn hosts_that_reach_the_server_go_first_but_somebody_is_always_in_charge() {
    let (timing, start) = (Timing::default(), Instant::now());
    let mut members = Members::new(start, heard("a", 1), &timing);
    let now = start + Duration::from_secs(1);
    let server: ServerId = name("s1");
    let mut b = heard("b", 2);
    members.hear(now, b.clone());
    members.report(&server, false);
    assert_eq!(members.attendant_of(now, &server), Some(&name("b")));
    b.unreachable.insert(server.clone());
    members.hear(now, b.clone());
    assert!(members.attendant_of(now, &server).is_some());
    b.stopping = true;
    members.hear(now, b);
    assert_eq!(members.attendant_of(now, &server), Some(&name("a")));
}

#[test]
fn the_list_of_hosts_is_bounded() {
    let now = Instant::now();
    let mut members = Members::new(now, heard("a", 1), &Timing::default());
    for host in 0..1000 {
        members.hear(now, heard(&format!("h{host}"), host));
    }
    assert_eq!(members.live(now).count(), MAX_MEMBERS + 1);
}

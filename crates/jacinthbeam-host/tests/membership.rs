//! When a host joins the group that assigns duties, renews, pauses and leaves.

use std::time::{Duration, Instant};

use jacinthbeam_host::process::membership::{
    DutyLease, Event, Membership, Next, Notice, lease::LEASE,
};

const DUE: Event = Event::Due { paused: false, leaving: false };
const PAUSED: Event = Event::Due { paused: true, leaving: false };
const LEAVING: Event = Event::Due { paused: false, leaving: true };

fn after(events: &[Event]) -> Membership {
    let mut membership = Membership::default();
    events.iter().for_each(|event| membership.handle(*event));
    membership
}

fn next(events: &[Event]) -> Next {
    after(events).next()
}

#[test]
fn a_member_renews_with_the_last_generation() {
    assert_eq!(next(&[DUE]), Next::Join(0));
    assert_eq!(next(&[DUE, Event::Joined(7), DUE]), Next::Join(7));
    assert_eq!(next(&[DUE, Event::Joined(7), DUE, Event::Joined(8), DUE]), Next::Join(8));
}

/// Guards against a new membership after a store outage of some seconds, and against a log line for every failed join: the host keeps joining
/// with the generation that it knows, and logs the loss and the return once each.
#[test]
fn an_outage_is_logged_once_and_keeps_the_membership() {
    let mut membership = after(&[DUE, Event::Joined(7), DUE, Event::Failed]);
    assert_eq!(membership.take_notice(), Some(Notice::Lost));
    for _ in 0..5 {
        membership.handle(DUE);
        assert_eq!(membership.next(), Next::Join(7));
        membership.handle(Event::Failed);
        assert_eq!(membership.take_notice(), None);
    }
    membership.handle(Event::Joined(9));
    assert_eq!(membership.take_notice(), Some(Notice::Regained));
    membership.handle(DUE);
    assert_eq!(membership.next(), Next::Join(9));
}

/// Guards against rejoining with an old generation. A host that reaches too few backend servers leaves the group for a while; with its old
/// generation the store might treat it as having held its duties all the time.
#[test]
fn a_paused_host_leaves_and_joins_anew() {
    let resting = [DUE, Event::Joined(7), PAUSED];
    assert_eq!(next(&resting), Next::Leave);
    assert_eq!(next(&[&resting[..], &[PAUSED]].concat()), Next::Nothing);
    assert_eq!(next(&[&resting[..], &[PAUSED, DUE]].concat()), Next::Join(0));
    assert_eq!(next(&[&resting[..], &[LEAVING]].concat()), Next::End);
}

/// Guards against duties left with a stopped host: a process that stops while its first join is unanswered must leave, since the join may have
/// taken effect.
#[test]
fn a_stopping_host_leaves_in_any_state() {
    for events in [&[DUE][..], &[DUE, Event::Failed], &[DUE, Event::Joined(7)]] {
        assert_eq!(next(&[events, &[LEAVING]].concat()), Next::Leave);
        assert_eq!(next(&[events, &[LEAVING, DUE]].concat()), Next::End);
    }
}

/// Guards against two hosts claiming the keys of a service from each other, by which a third of all lookups were refused for half a minute.
///
/// The store refuses the granting host and reassigns its duty to another, which takes over. When the store answers again, the first host must
/// not claim leadership for a duty that it no longer has, so a duty is valid only until the store may have reassigned it.
#[test]
fn a_duty_ends_with_its_lease() {
    let begun = Instant::now();
    let mut lease = DutyLease::default();
    assert!(!lease.expire(begun), "there is no lease yet");
    lease.renew(begun);
    assert!(!lease.expire(begun + LEASE - Duration::from_millis(1)));
    assert!(lease.expire(begun + LEASE));
    assert!(!lease.expire(begun + 2 * LEASE), "it expires twice");
    lease.renew(begun + 3 * LEASE);
    assert!(!lease.expire(begun + 3 * LEASE) && lease.expire(begun + 4 * LEASE));
}

//! When a host joins the group that shares duties out, stays, rests and leaves.

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
fn a_member_stays_by_the_last_generation() {
    assert_eq!(next(&[DUE]), Next::Join(0));
    assert_eq!(next(&[DUE, Event::Joined(7), DUE]), Next::Join(7));
    assert_eq!(next(&[DUE, Event::Joined(7), DUE, Event::Joined(8), DUE]), Next::Join(8));
}

/// The store is away for some seconds. The host goes on asking by the generation that it knows, and the log has one line for the loss
/// and one for the return, however many words got no answer.
#[test]
fn an_outage_is_told_once_and_ends_no_membership() {
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

/// A host that reaches too few backend servers gives its duties back for a while. Were it to name its old generation afterwards, the
/// store might count it as having held them all the time.
#[test]
fn a_host_that_rests_leaves_and_joins_anew() {
    let resting = [DUE, Event::Joined(7), PAUSED];
    assert_eq!(next(&resting), Next::Leave);
    assert_eq!(next(&[&resting[..], &[PAUSED]].concat()), Next::Nothing);
    assert_eq!(next(&[&resting[..], &[PAUSED, DUE]].concat()), Next::Join(0));
    assert_eq!(next(&[&resting[..], &[LEAVING]].concat()), Next::End);
}

/// A process stops while its first join has no answer. The join may be in force, and the duties with a host that is gone: it says
/// that it leaves all the same.
#[test]
fn a_host_that_stops_says_so_in_any_state() {
    for events in [&[DUE][..], &[DUE, Event::Failed], &[DUE, Event::Joined(7)]] {
        assert_eq!(next(&[events, &[LEAVING]].concat()), Next::Leave);
        assert_eq!(next(&[events, &[LEAVING, DUE]].concat()), Next::End);
    }
}

/// A third of all lookups are refused for half a minute, as two hosts take the keys of a service from each other.
///
/// The store turns the host away that grants; its duty is dealt to another, which takes over. When the store answers again, the first one still
/// believes in its duty, and claims. What it was dealt counts only for as long as the store can have given it to nobody else.
#[test]
fn a_duty_ends_with_its_lease() {
    let begun = Instant::now();
    let mut lease = DutyLease::default();
    assert!(!lease.expire(begun), "there is nothing to lose");
    lease.renew(begun);
    assert!(!lease.expire(begun + LEASE - Duration::from_millis(1)));
    assert!(lease.expire(begun + LEASE));
    assert!(!lease.expire(begun + 2 * LEASE), "it is told twice");
    lease.renew(begun + 3 * LEASE);
    assert!(!lease.expire(begun + 3 * LEASE) && lease.expire(begun + 4 * LEASE));
}

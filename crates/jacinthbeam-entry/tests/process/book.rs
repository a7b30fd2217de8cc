use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthbeam_entry::process::control::book::{Book, Heard};
use jacinthbeam_peer::message::{Details, Heartbeat};
use jacinthbeam_types::prelude::*;

const PATIENCE: Duration = Duration::from_millis(300);
const EVERY: Duration = Duration::from_millis(200);

fn address(n: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7001))
}

/// Host `n` attends servers `0..attended`.
fn details(n: u64, attended: u64) -> Details {
    let server = |n: u64| (format!("brine-{n}").parse().unwrap(), Token(n));
    Details {
        host: format!("entry-{n:02}").parse().unwrap(),
        cell: "kelowna".parse().unwrap(),
        peer_address: address(n),
        stopping: false,
        attends: (0..attended).map(server).collect(),
        retired: None,
        unreachable: Vec::new(),
    }
}

fn book(n: u64) -> Book {
    Book::new(Incarnation(n), details(n, 1))
}

fn question(from: &Book, to: u64) -> Heartbeat {
    from.question(address(to), Offset(9), None)
}

/// The first book asks the second one, which is that of host `to`. Says whether question and answer had details.
fn exchange(now: Instant, from: &mut Book, to: (u64, &mut Book)) -> (bool, bool) {
    let asked = question(from, to.0);
    to.1.hear(now, &asked, true);
    let answer = to.1.answer(&asked, Offset(9), None);
    from.hear(now, &answer, false);
    (asked.details.is_some(), answer.details.is_some())
}

#[test]
fn details_are_left_out_once_the_receiver_holds_them() {
    let now = Instant::now();
    let (mut a, mut b) = (book(1), book(2));
    assert_eq!(exchange(now, &mut a, (2, &mut b)), (true, true));
    assert_eq!(exchange(now, &mut a, (2, &mut b)), (false, false));
    assert_eq!(exchange(now, &mut b, (1, &mut a)), (false, false));
}

#[test]
fn a_change_is_sent_with_the_next_heartbeat_also_by_the_host_that_waits_to_be_asked() {
    // Host 2 is asked by host 1 and need not ask itself. It takes a server over. Were it to wait for the next question,
    // requests would go to its predecessor for so long.
    let now = Instant::now();
    let (mut a, mut b) = (book(1), book(2));
    exchange(now, &mut a, (2, &mut b));
    exchange(now, &mut a, (2, &mut b));
    assert!(!b.must_ask(now, address(1), PATIENCE, |_| false));
    b.stamp(details(2, 2));
    assert!(b.must_ask(now, address(1), PATIENCE, |_| false));
    assert_eq!(exchange(now, &mut b, (1, &mut a)), (true, false));
    let host: HostId = "entry-02".parse().unwrap();
    assert_eq!(a.peers()[&host].details, details(2, 2));
    assert!(!b.must_ask(now, address(1), PATIENCE, |_| false));
}

#[test]
fn a_restarted_host_is_not_credited_with_the_details_of_its_earlier_life() {
    // Host 1 restarts and attends nothing. A heartbeat of the new life that comes without details tells
    // nothing: with those of the earlier life, its servers would count as attended.
    let now = Instant::now();
    let (mut a, mut b) = (book(1), book(2));
    exchange(now, &mut a, (2, &mut b));
    let reborn = Book::new(Incarnation(11), details(1, 0));
    let without = Heartbeat { details: None, ..question(&reborn, 2) };
    assert_eq!(b.hear(now, &without, true), Heard::Nothing);
    assert_eq!(b.answer(&without, Offset(9), None).holds, None);
    let host: HostId = "entry-01".parse().unwrap();
    assert_eq!(b.peers()[&host].edition.incarnation, Incarnation(1));
    assert_eq!(
        b.hear(now, &question(&reborn, 2), true),
        Heard::Life { host: host.clone(), changed: true }
    );
    assert_eq!(b.peers()[&host].details, details(1, 0));
}

#[test]
fn a_receiver_that_restarted_is_told_the_details_again() {
    // Host 2 forgets everything. Host 1 still believes that it holds its details and leaves them out once; host
    // 2's answer says that it holds none.
    let now = Instant::now();
    let (mut a, mut b) = (book(1), book(2));
    exchange(now, &mut a, (2, &mut b));
    exchange(now, &mut a, (2, &mut b));
    let mut reborn = Book::new(Incarnation(12), details(2, 1));
    assert_eq!(exchange(now, &mut a, (2, &mut reborn)), (false, true));
    assert!(reborn.peers().is_empty());
    assert_eq!(exchange(now, &mut a, (2, &mut reborn)), (true, false));
    assert_eq!(reborn.peers().len(), 1);
}

#[test]
fn details_that_arrive_late_do_not_replace_newer_ones() {
    let now = Instant::now();
    let (mut a, mut b) = (book(1), book(2));
    let late = question(&a, 2);
    a.stamp(details(1, 2));
    b.hear(now, &question(&a, 2), true);
    let host: HostId = "entry-01".parse().unwrap();
    assert_eq!(b.hear(now, &late, true), Heard::Life { host: host.clone(), changed: false });
    assert_eq!(b.peers()[&host].details, details(1, 2));
}

#[test]
fn a_host_of_another_cell_is_not_noted() {
    let mut a = book(1);
    let other = Details { cell: "osoyoos".parse().unwrap(), ..details(2, 0) };
    let beat = question(&Book::new(Incarnation(2), other), 1);
    assert_eq!(a.hear(Instant::now(), &beat, true), Heard::Nothing);
    assert!(a.peers().is_empty());
}

#[test]
fn each_pair_needs_one_exchange_and_two_witnesses_need_two() {
    // Each host asks when it must, and answers when asked, as in a cell at rest.
    let start = Instant::now();
    let is_witness = |host: Incarnation| host.0 < 5;
    let mut books: Vec<Book> = (0..16).map(book).collect();
    let mut exchanges = 0;
    for round in 0..6 {
        let now = start + round * EVERY;
        exchanges = 0;
        for from in 0..16_usize {
            for to in (0..16_usize).filter(|to| *to != from) {
                let must = books[from].must_ask(now, address(to as u64), PATIENCE, is_witness);
                if must {
                    exchanges += 1;
                    let mut asking = std::mem::replace(&mut books[from], book(99));
                    exchange(now, &mut asking, (to as u64, &mut books[to]));
                    books[from] = asking;
                }
            }
        }
    }
    let pairs = 16 * 15 / 2;
    let pairs_of_witnesses = 5 * 4 / 2;
    assert_eq!(exchanges, pairs + pairs_of_witnesses);
}

#[test]
fn a_host_asks_by_itself_once_no_question_comes() {
    // Host 1 asks host 2 and then no more, since its way there is cut. Host 2 would lose its last sign of a
    // host that lives, and each would take the other's servers.
    let now = Instant::now();
    let (mut a, mut b) = (book(1), book(2));
    exchange(now, &mut a, (2, &mut b));
    exchange(now, &mut a, (2, &mut b));
    assert!(!b.must_ask(now + EVERY, address(1), PATIENCE, |_| false));
    assert!(b.must_ask(now + PATIENCE, address(1), PATIENCE, |_| false));
}

//! A caller's repeat with the same idempotency key never runs twice, whoever is lost in between.

mod held;
mod judge;
mod keeper;
mod support;

use http::StatusCode;
use support::{Cell, ORDER, Order, TWO_CELLS, send, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_the_loss_of_the_attendant_gets_the_first_answer() {
    // A dispatcher orders brine and gets an answer. The attendant's host dies. The dispatcher's own host was restarted
    // too, so it does not know whether the order went out and sends it again through another host.
    // The new attendant has never seen the order, but the successor held a copy: it is not run again.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!((first.status, first.verdict.as_str()), (StatusCode::OK, "ran"));
    let (server, attendant) = cell.where_it_ran().await;
    cell.until_copied(&server, &attendant).await;
    cell.entries.remove(&attendant);

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_a_planned_stop_gets_the_first_answer() {
    // As above, but the attendant's host is stopped for an upgrade. It has handed over all it remembers.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    let (_, attendant) = cell.where_it_ran().await;
    cell.entries.remove(&attendant).unwrap().stop().await;

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_two_losses_in_a_row_gets_the_first_answer() {
    // The attendant dies, and after the next one has taken over that one dies too. The last host of the
    // cell got a copy of everything when it became the successor.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    for _ in 0..2 {
        let (server, attendant) = cell.where_it_ran().await;
        cell.until_copied(&server, &attendant).await;
        cell.entries.remove(&attendant);
        cell.until_served(8).await;
    }

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_the_loss_of_successor_and_then_attendant_gets_the_first_answer() {
    // The successor dies first. The attendant copies all it remembers to the third host, and dies after that.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    let (server, attendant) = cell.where_it_ran().await;
    let successor = cell.successor(&server, &attendant);
    cell.entries.remove(&successor);
    cell.until_copied(&server, &attendant).await;
    // Copies count only once all of them have been confirmed, which a new order needs.
    let next = Order { idempotency_key: "order-2", ..ORDER };
    assert_eq!(cell.repeat(cell.other_than(&[]), next).await.verdict, "ran");
    cell.entries.remove(&attendant);

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_the_eviction_of_the_server_gets_the_first_answer() {
    // The backend server dies after its answer, and its slots go to the other one, which knows nothing of the order.
    // Its attendant fetches the memory of the slots before it takes the repeat.
    let cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    let (server, _) = cell.where_it_ran().await;
    cell.servers[&server].kill();
    cell.until_served(8).await;
    until(async || {
        let dump = cell.entries.values().next().unwrap().dump().await.unwrap();
        dump.backend_servers[&server].owns == 0
    })
    .await;

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
}

/// Lets the server that ran the order leave, and waits until the other one has all slots.
async fn leave(cell: &mut Cell, slots: usize) {
    let (server, _) = cell.where_it_ran().await;
    cell.leaving.insert(server.clone());
    cell.publish_list();
    until(async || {
        let dump = cell.entries.values().next().unwrap().dump().await.unwrap();
        dump.services[&"brinedesk".parse().unwrap()].owned == Some(slots)
            && cell.servers[&server].grant_state().slots.iter().count() == 0
    })
    .await;
    cell.until_served(slots).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_a_planned_move_gets_the_first_answer() {
    // The backend server leaves, and its slots move to the other one one by one.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    leave(&mut cell, 8).await;

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
    // A new order runs: nothing was lost.
    let other = Order { idempotency_key: "order-2", ..ORDER };
    assert_eq!(cell.repeat(cell.other_than(&[]), other).await.verdict, "ran");
    assert_eq!(cell.ran(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_a_move_to_another_cell_gets_the_first_answer() {
    // The same, but the other backend server belongs to another cell, whose hosts hold nothing of the order. Their
    // attendant fetches it from the hosts of the first cell.
    let mut cell = Cell::spawn_layout(&TWO_CELLS).await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    leave(&mut cell, 8).await;

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
    let other = Order { idempotency_key: "order-2", ..ORDER };
    assert_eq!(cell.repeat(cell.other_than(&[]), other).await.verdict, "ran");
    assert_eq!(cell.ran(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_its_key_was_split_out_gets_the_first_answer() {
    // A road is so busy that its key gets a slot of its own; then the attendant dies. The order is remembered under the new
    // slot, here and by the successor.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    cell.split("road-7");
    cell.until_served(9).await;
    assert_eq!(cell.repeat(cell.other_than(&[]), ORDER).await, first);
    let (server, attendant) = cell.where_it_ran().await;
    cell.until_copied(&server, &attendant).await;
    cell.entries.remove(&attendant);

    assert_eq!(cell.repeat(cell.other_than(&[]), ORDER).await, first);
    assert_eq!(cell.ran(), 1);
    let other = Order { idempotency_key: "order-2", ..ORDER };
    assert_eq!(cell.repeat(cell.other_than(&[]), other).await.verdict, "ran");
    assert_eq!(cell.ran(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_its_key_was_split_out_and_moved_gets_the_first_answer() {
    // The key got a slot of its own, and that slot moves to a server of another cell: the order goes along with it.
    let mut cell = Cell::spawn_layout(&TWO_CELLS).await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    cell.split("road-7");
    cell.until_served(9).await;
    leave(&mut cell, 9).await;

    assert_eq!(cell.repeat(cell.other_than(&[]), ORDER).await, first);
    assert_eq!(cell.ran(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_that_wait_through_a_planned_stop_all_run_once() {
    // Three orders run and six wait in the attendant's queue when its host is stopped. Those that wait were begun there and not
    // sent; the next attendant must know that they did not run, or it would refuse them.
    let mut cell = Cell::spawn().await;
    let probe = Order { idempotency_key: "order-0", ..ORDER };
    cell.repeat(cell.other_than(&[]), probe).await;
    let (server, attendant) = cell.where_it_ran().await;
    cell.servers[&server].set_hold(true);
    let addr = cell.other_than(&[&attendant]);
    let orders = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let sent = orders.map(|key| tokio::spawn(send(addr, Order { idempotency_key: key, ..ORDER })));
    until(async || {
        let dump = cell.entries[&attendant].dump().await.unwrap();
        let admission = dump.backend_servers[&server].admission.as_ref();
        admission.is_some_and(|admission| admission.in_use + admission.waiting as u32 == 9)
    })
    .await;
    let stopping = cell.entries.remove(&attendant).unwrap();
    let callers = stopping.callers();
    let stopped = tokio::spawn(stopping.stop());
    until(async || tokio::net::TcpStream::connect(callers).await.is_err()).await;
    cell.servers[&server].set_hold(false);
    stopped.await.unwrap();

    for (key, sent) in orders.into_iter().zip(sent) {
        sent.await.unwrap();
        let order = Order { idempotency_key: key, ..ORDER };
        assert_eq!(cell.repeat(addr, order).await.verdict, "ran", "{key}");
    }
    assert_eq!(cell.ran(), 10);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_a_restart_of_the_server_gets_the_first_answer() {
    // The backend server restarts and reports that nobody ever attended it. Its attendant remembers the order all the same.
    let cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    let (server, _) = cell.where_it_ran().await;
    let life = cell.servers[&server].restart().unwrap();
    until(async || cell.servers[&server].grant_state().slots.iter().count() > 0).await;
    assert_eq!(cell.servers[&server].grant_state().incarnation, life);
    cell.until_served(8).await;

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(second, first);
    assert_eq!(cell.ran(), 1);
    // A new order runs: nothing was lost.
    let other = Order { idempotency_key: "order-2", ..ORDER };
    assert_eq!(cell.repeat(cell.other_than(&[]), other).await.verdict, "ran");
    assert_eq!(cell.ran(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_after_the_loss_of_attendant_and_successor_is_refused_honestly() {
    // Both hosts that remember the order die at once. The third one can't know whether it ran, and says so; the order
    // is not run again.
    let mut cell = Cell::spawn().await;
    cell.repeat(cell.other_than(&[]), ORDER).await;
    let (server, attendant) = cell.where_it_ran().await;
    let successor = cell.successor(&server, &attendant);
    let attendant = cell.entries.remove(&attendant);
    let successor = cell.entries.remove(&successor);
    drop((attendant, successor));

    let second = cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!((second.status, second.verdict.as_str()), (StatusCode::CONFLICT, "may-have-run"));
    assert_eq!(cell.ran(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_that_was_running_when_its_attendant_died_is_not_run_again() {
    // The order is at the backend server when the attendant dies, so nobody learns its answer. The successor
    // has a copy that says that it was sent.
    let mut cell = Cell::spawn().await;
    let probe = Order { idempotency_key: "order-0", ..ORDER };
    cell.repeat(cell.other_than(&[]), probe).await;
    let (server, attendant) = cell.where_it_ran().await;
    cell.servers[&server].set_hold(true);
    let addr = cell.other_than(&[&attendant]);
    let sent = tokio::spawn(async move { send(addr, ORDER).await });
    until(async || cell.servers[&server].grant_state().running == 1).await;
    cell.entries.remove(&attendant);
    let lost = sent.await.unwrap().expect("the host that was asked lives");
    assert_eq!(lost.verdict, "may-have-run");
    cell.servers[&server].set_hold(false);

    let second = cell.repeat(addr, ORDER).await;
    assert_eq!((second.status, second.verdict.as_str()), (StatusCode::CONFLICT, "may-have-run"));
    assert!(cell.ran() <= 2, "order-0 and at most once order-1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_order_sent_through_several_hosts_during_a_takeover_runs_once() {
    // The dispatcher's client sends one order again and again through both other hosts, while the attendant dies and one of them
    // takes over. Whatever each host believes meanwhile, the order takes effect once.
    let mut cell = Cell::spawn().await;
    let probe = Order { idempotency_key: "order-0", ..ORDER };
    cell.repeat(cell.other_than(&[]), probe).await;
    let (_, attendant) = cell.where_it_ran().await;
    let before = cell.ran();
    let others = cell.entries.iter().filter(|(host, _)| **host != attendant);
    let senders: Vec<_> = others.map(|(_, entry)| entry.callers()).collect();
    let senders: Vec<_> = senders
        .into_iter()
        .map(|addr| {
            tokio::spawn(async move {
                for _ in 0..200 {
                    send(addr, ORDER).await;
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            })
        })
        .collect();
    // The order has run by the time the attendant dies, so every later run is one too many.
    until(async || cell.ran() > before).await;
    cell.entries.remove(&attendant);
    for sender in senders {
        sender.await.unwrap();
    }

    cell.repeat(cell.other_than(&[]), ORDER).await;
    assert_eq!(cell.ran(), 2, "order-0 once and order-1 once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_host_of_a_cell_goes_on_alone() {
    // Both other hosts die, and the attendant remembers all by itself. It has to wait until its old successor, which may
    // only be cut off, would vouch for nothing any more.
    let mut cell = Cell::spawn().await;
    let first = cell.repeat(cell.other_than(&[]), ORDER).await;
    let (_, attendant) = cell.where_it_ran().await;
    let others: Vec<_> = cell.entries.keys().filter(|host| **host != attendant).cloned().collect();
    let others: Vec<_> = others.iter().map(|host| cell.entries.remove(host)).collect();
    drop(others);

    let next = Order { idempotency_key: "order-2", ..ORDER };
    assert_eq!(cell.repeat(cell.other_than(&[]), next).await.verdict, "ran");
    assert_eq!(cell.repeat(cell.other_than(&[]), ORDER).await, first);
    assert_eq!(cell.ran(), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_key_with_another_body_is_refused_also_by_the_next_attendant() {
    // A client draws the same key for two different orders. The second one must be neither run nor answered as the first.
    let mut cell = Cell::spawn().await;
    cell.repeat(cell.other_than(&[]), ORDER).await;
    let (server, attendant) = cell.where_it_ran().await;
    cell.until_copied(&server, &attendant).await;
    let other = Order { body: "900 l", ..ORDER };
    let refused = cell.repeat(cell.other_than(&[]), other).await;
    assert_eq!(
        (refused.status, refused.verdict.as_str()),
        (StatusCode::UNPROCESSABLE_ENTITY, "not-run")
    );
    cell.entries.remove(&attendant);
    cell.until_served(8).await;

    let refused = cell.repeat(cell.other_than(&[]), other).await;
    assert_eq!(
        (refused.status, refused.verdict.as_str()),
        (StatusCode::UNPROCESSABLE_ENTITY, "not-run")
    );
    assert_eq!(cell.ran(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_sent_to_an_undivided_service_is_refused() {
    // Its servers come and go without an order between them, so nobody could vouch that a key did not run.
    let cell = Cell::spawn().await;
    let order = Order { path: "/maps/tile", ..ORDER };
    let refused = cell.repeat(cell.other_than(&[]), order).await;
    assert_eq!((refused.status, refused.verdict.as_str()), (StatusCode::BAD_REQUEST, "not-run"));
    assert!(refused.body.contains("idempotency-key"), "{}", refused.body);
    assert_eq!(cell.ran(), 0);
}

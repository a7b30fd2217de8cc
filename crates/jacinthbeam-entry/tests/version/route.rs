use std::net::SocketAddr;

use jacinthbeam_entry::version::{Version, route::Hints};
use jacinthbeam_types::prelude::*;

fn host(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A request once found the attendant at a host that now stands still, and the cell's heartbeats name another one. Were the hint asked first, the
/// request would wait there until its deadline and end as `may-have-run`.
#[test]
fn what_the_cell_says_comes_before_what_a_request_found() {
    let server: ServerId = "orders-0".parse().unwrap();
    let hints = Hints::default();
    hints.set(&server, host(1));
    let mut version = Version::default();
    assert_eq!(version.hosts_for(&server, &hints), [host(1)]);
    version.attendants.insert(server.clone(), host(2));
    assert_eq!(version.hosts_for(&server, &hints), [host(2), host(1)]);
    hints.forget(&server, host(2));
    hints.forget(&server, host(1));
    assert_eq!(version.hosts_for(&server, &hints), [host(2)]);
}

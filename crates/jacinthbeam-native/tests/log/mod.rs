mod append;
mod read;

use std::{net::SocketAddr, time::Duration};

use jacinthbeam_native::log::Client;

fn client(addr: SocketAddr) -> Client {
    Client::open(addr, Duration::from_secs(30))
}

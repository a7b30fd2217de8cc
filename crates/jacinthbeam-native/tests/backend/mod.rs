mod closed;
mod cut;
mod limit;
mod reuse;
mod session;
mod silence;
mod verdict;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use jacinthbeam_native::backend::{Answer, Cut, Options, Pool, RequestBody, empty};
use jacinthbeam_types::prelude::*;

use crate::fake::{Fake, Peer};

/// An answer of 5 bytes.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nbackend-server: s1\r\ncontent-length: 5\r\n\r\nbrine";

fn pool(addr: SocketAddr, connections: u32) -> Pool {
    let server = "s1".parse().unwrap();
    Pool::open(server, addr, connections, Options::default(), Arc::new(SystemClock))
}

fn get(path: &str) -> Request<RequestBody> {
    Request::get(path).header("host", "s1").body(empty()).unwrap()
}

/// A deadline that no test reaches.
fn far() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

async fn whole(mut answer: Answer) -> Result<Bytes, Cut> {
    let mut body = Vec::new();
    while let Some(part) = answer.body_mut().next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body.into())
}

/// One exchange over a new connection, read to its end.
async fn exchange(pool: &Pool, fake: &Fake) -> Peer {
    let (answer, peer) = tokio::join!(pool.send(get("/"), far()), fake.serve(WHOLE));
    whole(answer.unwrap()).await.unwrap();
    peer
}

/// One exchange over an idle connection, read to its end.
async fn again(pool: &Pool, peer: &mut Peer) {
    let (answer, ()) = tokio::join!(pool.send(get("/"), far()), async {
        peer.request().await;
        peer.say(WHOLE).await;
    });
    whole(answer.unwrap()).await.unwrap();
}

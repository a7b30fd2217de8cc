//! The connections of a host to one server.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request};
use jacinthbeam_connection::Dialer;
use jacinthbeam_host::connection::{
    Pool,
    carried::{AttemptDigest, MAX_ATTEMPTS},
    pool::{self, PooledConnection},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// What a server received: the number of the connection, and the path.
type Received = Arc<Mutex<Vec<(usize, String)>>>;

/// Starts a server that answers each request.
async fn start_server() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let received = Received::default();
    let record = received.clone();
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, number, record.clone()));
        }
    });
    (addr, received)
}

async fn serve(mut stream: TcpStream, number: usize, received: Received) {
    let mut buf = Vec::new();
    while stream.read_buf(&mut buf).await.is_ok_and(|len| len > 0) {
        if !buf.ends_with(b"\r\n\r\n") {
            continue;
        }
        let head = String::from_utf8(std::mem::take(&mut buf)).unwrap();
        let path = head.split(' ').nth(1).unwrap().to_owned();
        received.lock().unwrap().push((number, path));
        if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

fn digest(attempt: usize) -> AttemptDigest {
    AttemptDigest::of(&HeaderValue::from(attempt))
}

async fn acquire(pool: &Pool, max: u32, attempt: usize) -> Result<PooledConnection, pool::Error> {
    pool.acquire(Instant::now(), max, digest(attempt)).await
}

async fn send(conn: &mut PooledConnection, attempt: usize) {
    let req = Request::get(format!("/{attempt}")).body(pool::body(Bytes::new())).unwrap();
    conn.send(digest(attempt), req).await.unwrap();
    conn.inner.sender.ready().await.unwrap();
}

async fn send_once(pool: &Pool, max: u32, attempt: usize) {
    let mut conn = acquire(pool, max, attempt).await.unwrap();
    send(&mut conn, attempt).await;
    pool.release(conn, Instant::now(), None);
}

/// Guards against an attempt that is sent twice over one connection, whatever the reason and the order of sends.
#[tokio::test]
async fn a_connection_carries_each_attempt_at_most_once() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let (addr, received) = start_server().await;
        let pool = Pool::new(addr, Dialer::default());
        let max = random.u32(1..6);
        let mut in_use = Vec::new();
        for _ in 0..300 {
            let attempt = random.usize(..8);
            match random.u8(..4) {
                0 if !in_use.is_empty() => {
                    let conn = in_use.swap_remove(random.usize(..in_use.len()));
                    pool.release(conn, Instant::now(), None);
                }
                // A connection that was not used after all.
                1 => {
                    let Ok(conn) = acquire(&pool, max, attempt).await else { continue };
                    pool.return_unused(conn, Instant::now());
                }
                2 if !in_use.is_empty() => {
                    drop(in_use.swap_remove(random.usize(..in_use.len())));
                }
                _ => {
                    let Ok(mut conn) = acquire(&pool, max, attempt).await else { continue };
                    send(&mut conn, attempt).await;
                    in_use.push(conn);
                }
            }
            assert!(pool.open_count() <= max, "seed {seed}");
        }
        let received = received.lock().unwrap();
        let distinct: BTreeSet<_> = received.iter().collect();
        assert_eq!(distinct.len(), received.len(), "seed {seed}: {received:?}");
    }
}

/// Guards against connections that are opened although an idle one could be used.
#[tokio::test]
async fn distinct_attempts_share_a_connection() {
    let (addr, received) = start_server().await;
    let pool = Pool::new(addr, Dialer::default());
    for attempt in 0..100 {
        send_once(&pool, 4, attempt).await;
    }
    // The retry needs another connection, and the attempts after it use both.
    send_once(&pool, 4, 99).await;
    for attempt in 100..200 {
        send_once(&pool, 4, attempt).await;
    }
    let received = received.lock().unwrap();
    assert_eq!(received.iter().map(|(number, _)| *number).max(), Some(1));
}

/// Guards against a retry that gets no connection because the only one that is allowed has carried its attempt.
#[tokio::test]
async fn a_retry_replaces_the_only_connection() {
    let (addr, received) = start_server().await;
    let pool = Pool::new(addr, Dialer::default());
    for _ in 0..3 {
        send_once(&pool, 1, 7).await;
    }
    let numbers: Vec<_> = received.lock().unwrap().iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, [0, 1, 2]);
}

/// Guards against a request over a connection that the server has begun to close, since a request that was not sent over it has
/// prolonged its idle time.
#[tokio::test]
async fn a_connection_that_is_returned_unused_stays_no_longer_idle() {
    let (addr, received) = start_server().await;
    let pool = Pool::new(addr, Dialer::default());
    let begun = Instant::now();
    let mut conn = acquire(&pool, 4, 0).await.unwrap();
    send(&mut conn, 0).await;
    // The server closes it after 3 s.
    pool.release(conn, begun, Some(Duration::from_secs(3)));
    let unused = pool.acquire(begun + Duration::from_secs(1), 4, digest(1)).await.unwrap();
    pool.return_unused(unused, begun + Duration::from_secs(1));
    let later = begun + Duration::from_millis(2500);
    let mut conn = pool.acquire(later, 4, digest(2)).await.unwrap();
    send(&mut conn, 2).await;
    let numbers: Vec<_> = received.lock().unwrap().iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers, [0, 1]);
}

/// Guards against memory that grows with the age of a connection.
#[tokio::test]
async fn a_connection_is_closed_after_its_last_attempt() {
    let (addr, received) = start_server().await;
    let pool = Pool::new(addr, Dialer::default());
    for attempt in 0..=MAX_ATTEMPTS {
        assert!(pool.open_count() <= 1);
        send_once(&pool, 4, attempt).await;
    }
    let received = received.lock().unwrap();
    let of_first = received.iter().filter(|(number, _)| *number == 0).count();
    assert_eq!((of_first, received.len()), (MAX_ATTEMPTS, MAX_ATTEMPTS + 1));
}

//! The memory that bodies of requests and responses may take.

use std::time::Duration;

use bytes::Bytes;
use jacinthbeam_host::request::memory::BodyMemory;
use jacinthbeam_types::prelude::Bytes as Size;

/// Guards against bodies of many slow callers exceeding the memory of the process.
#[test]
fn bodies_take_a_quarter_of_the_memory_at_most() {
    let memory = BodyMemory::new(Size(4000));
    let (mut first, mut second) = (memory.reservation(), memory.reservation());
    assert!(first.extend_to(600));
    assert!(!second.extend_to(500));
    assert!(second.extend_to(400));
    assert_eq!(memory.used(), 1000);
    drop(first);
    assert!(second.extend_to(1000));
}

/// Guards against a body being counted as free while a clone of it still waits for a slow reader.
#[test]
fn a_body_counts_until_its_last_clone_is_dropped() {
    let memory = BodyMemory::new(Size(4000));
    let mut reservation = memory.reservation();
    assert!(reservation.extend_to(5));
    let body = reservation.attach(Bytes::from_static(b"whole"));
    let clone = body.slice(1..);
    drop(body);
    assert_eq!((memory.used(), &clone[..]), (5, &b"hole"[..]));
    drop(clone);
    assert_eq!(memory.used(), 0);
}

/// Guards against a response that waits for memory staying blocked after another one was read.
#[tokio::test(start_paused = true)]
async fn a_response_waits_until_there_is_memory() {
    let memory = BodyMemory::new(Size(4000));
    let mut first = memory.reservation();
    assert!(first.extend_to(1000));
    let mut second = memory.reservation();
    let wait = second.wait_extend_to(1);
    assert!(tokio::time::timeout(Duration::from_millis(100), wait).await.is_err());
    drop(first);
    second.wait_extend_to(1).await.unwrap();
    assert_eq!(memory.used(), 1);
}

/// Guards against responses that never end blocking all others: several of them together take all memory before any reaches the maximum size.
#[tokio::test(start_paused = true)]
async fn bodies_that_exceed_their_share_fail_when_memory_is_short() {
    const KIB: usize = 1 << 10;
    let memory = BodyMemory::new(Size(4 * 1024 * KIB as u64));
    let (mut first, mut second) = (memory.reservation(), memory.reservation());
    assert!(first.extend_to(400 * KIB) && second.extend_to(300 * KIB));
    assert!(first.wait_extend_to(500 * KIB).await.is_err());
    let wait = second.wait_extend_to(500 * KIB);
    assert!(tokio::time::timeout(Duration::from_millis(100), wait).await.is_err());
    let mut small = memory.reservation();
    small.wait_extend_to(64 * KIB).await.unwrap();
    drop(first);
    second.wait_extend_to(500 * KIB).await.unwrap();
    drop(second);
    assert!(memory.reservation().extend_to(700 * KIB), "the ended bodies count no longer");
}

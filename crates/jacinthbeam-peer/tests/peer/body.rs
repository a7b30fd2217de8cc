use bytes::Bytes;
use futures_util::stream;
use jacinthbeam_peer::{
    Body,
    body::{Closed, CollectError, Cut},
};

fn of(chunks: &[&'static str], length: Option<u64>) -> Body {
    let chunks: Vec<_> =
        chunks.iter().map(|chunk| Ok(Bytes::from_static(chunk.as_bytes()))).collect();
    Body::from_stream(stream::iter(chunks), length)
}

#[tokio::test]
async fn whole_body_is_collected() {
    assert_eq!(of(&["ab", "c"], Some(3)).collect(3).await, Ok("abc".into()));
    assert_eq!(of(&["ab", "c"], None).collect(3).await, Ok("abc".into()));
    assert_eq!(of(&["ab", "c"], None).collect(2).await, Err(CollectError::TooLarge { max: 2 }));
    assert_eq!(Body::from(Bytes::from_static(b"abc")).collect(3).await, Ok("abc".into()));
}

#[tokio::test]
async fn body_of_another_length_than_announced_is_cut() {
    // The reader sees a cut. The chunks end too early, or go on too long, while the stream itself ends without
    // a fault; only the announced length tells that they are not the whole body, or not only this one.
    let short = of(&["ab"], Some(3)).collect(9).await;
    assert_eq!(short, Err(CollectError::Cut(Cut::TooShort { missing: 1 })));
    let mut long = of(&["ab", "cd", "e"], Some(3));
    assert_eq!(long.next().await, Some(Ok("ab".into())));
    assert_eq!(long.next().await, Some(Err(Cut::TooLong { announced: 3 })));
    assert_eq!(long.next().await, None);
    assert!(long.is_ended());
}

#[tokio::test]
async fn channel_ends_whole_only_when_finished() {
    let (mut tx, body) = Body::channel(None);
    tx.send("ab".into()).await.unwrap();
    tx.finish().await.unwrap();
    assert_eq!(body.collect(9).await, Ok("ab".into()));
    let (mut tx, body) = Body::channel(None);
    tx.send("ab".into()).await.unwrap();
    drop(tx);
    assert_eq!(body.collect(9).await, Err(CollectError::Cut(Cut::Abandoned)));
    let (mut tx, body) = Body::channel(None);
    drop(body);
    tx.closed().await;
    assert_eq!(tx.send("ab".into()).await, Err(Closed));
}

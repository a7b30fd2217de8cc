use jacinthbeam_native::backend::Cut;
use jacinthbeam_types::prelude::*;

use super::{WHOLE, exchange, far, get, pool, whole};
use crate::fake::Fake;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nbackend-server: s1\r\ntransfer-encoding: chunked\r\n\r\n\
                       3\r\nbri\r\n2\r\nne\r\n0\r\n\r\n";

// The backend server dies in the middle of its answer, at any byte of it. The caller gets an error
// and never a clean end with a part of the answer, and the next request goes over a new connection.
#[tokio::test]
async fn an_answer_cut_at_any_byte_is_an_error() {
    let fake = Fake::bind().await;
    for answer in [WHOLE, CHUNKED] {
        for at in 0..answer.len() {
            let pool = pool(fake.addr(), 1);
            let serve = async { drop(fake.serve(&answer[..at]).await) };
            let (sent, ()) = tokio::join!(pool.send(get("/"), far()), serve);
            match sent {
                Err(failure) => assert_eq!(failure.verdict, Verdict::MayHaveRun, "cut at {at}"),
                Ok(cut) => assert_eq!(whole(cut).await, Err(Cut::Lost), "cut at {at}"),
            }
            assert_eq!(pool.snapshot().idle, 0, "cut at {at}");
        }
        let pool = pool(fake.addr(), 1);
        let (sent, _peer) = tokio::join!(pool.send(get("/"), far()), fake.serve(answer));
        assert_eq!(whole(sent.unwrap()).await.unwrap(), "brine");
    }
}

// An answer without length that ends with its connection looks the same whether it is whole or cut.
// It is refused at its head, as may-have-run.
#[tokio::test]
async fn an_answer_whose_end_cannot_be_told_is_refused() {
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 1);
    let endless = "HTTP/1.1 200 OK\r\nbackend-server: s1\r\n\r\nbrine";
    let (sent, mut peer) = tokio::join!(pool.send(get("/"), far()), fake.serve(endless));
    let failure = sent.unwrap_err();
    assert_eq!((failure.verdict, failure.reason), (Verdict::MayHaveRun, Reason::AnswerCut));
    peer.closed().await;
    exchange(&pool, &fake).await;
}

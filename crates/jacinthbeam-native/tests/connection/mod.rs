//! What the verdicts rest on in hyper, so that an upgrade that changes it is noticed.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::fake::Fake;

fn order() -> Request<Full<Bytes>> {
    Request::post("/orders").header("host", "s1").body("brine".into()).unwrap()
}

// The connection ends before its task took the order up. hyper gives the order back, which proves
// that nothing of it was written; the caller hears not-run.
#[tokio::test]
async fn a_request_that_was_not_taken_up_is_given_back() {
    let fake = Fake::bind().await;
    let io = TokioIo::new(TcpStream::connect(fake.addr()).await.unwrap());
    let (mut sender, conn) = handshake(io).await.unwrap();
    let sent = sender.try_send_request(order());
    drop(conn);
    assert!(sent.await.unwrap_err().take_message().is_some());
    let again = sender.try_send_request(order()).await;
    assert!(again.unwrap_err().take_message().is_some());
}

// The connection ends after its task took the order up. The order is not given back, whether or not
// it was read.
#[tokio::test]
async fn a_request_that_was_taken_up_is_not_given_back() {
    let fake = Fake::bind().await;
    let io = TokioIo::new(TcpStream::connect(fake.addr()).await.unwrap());
    let (mut sender, conn) = handshake(io).await.unwrap();
    let sent = sender.try_send_request(order());
    let serve = async { drop(fake.serve("").await) };
    let (sent, _, ()) = tokio::join!(sent, conn, serve);
    assert!(sent.unwrap_err().take_message().is_none());
}

use std::{cell::RefCell, fmt::Write};

use http::Request;
use jacinthbeam_native::backend::{Pool, RequestBody, full};

use super::{far, get, pool, whole};
use crate::fake::{Fake, Peer, Refusing};

/// What went over each connection, and what the caller got, in order.
#[derive(Default)]
struct Transcript(RefCell<String>);

impl Transcript {
    fn note(&self, who: &str, what: &str) {
        let mut text = self.0.borrow_mut();
        for line in what.trim_end().split("\r\n") {
            writeln!(text, "{who:>8} | {line}").unwrap();
        }
    }

    /// The server's side of one exchange.
    async fn serve(&self, name: &str, peer: &mut Peer, answer: &str) {
        self.note(&format!("{name} >"), &peer.request().await);
        self.note(&format!("{name} <"), answer);
        peer.say(answer).await;
    }

    /// The caller's side of one exchange.
    async fn ask(&self, pool: &Pool, req: Request<RequestBody>) {
        let told = match pool.send(req, far()).await {
            Err(failure) => failure.to_string(),
            Ok(answer) => {
                let status = answer.status();
                match whole(answer).await {
                    Ok(body) => format!("{status}, {} bytes, whole", body.len()),
                    Err(cut) => format!("{status}, {cut}"),
                }
            }
        };
        self.note("caller", &told);
    }
}

fn order(id: &str) -> Request<RequestBody> {
    Request::post("/orders")
        .header("host", "s1")
        .header("grant-token", "4")
        .header("grant-slot", "17")
        .header("request-key", "pass-4")
        .header("request-id", id)
        .header("request-deadline-ms", "2000")
        .body(full("brine".into()))
        .unwrap()
}

// A night at one backend server: a page, an order, a refusal, a cut answer and an answer of the
// wrong server. Whole answers and refusals share one connection; each of the others ends the one it
// came on.
#[tokio::test]
async fn a_whole_session() {
    let log = Transcript::default();
    let fake = Fake::bind().await;
    let pool = pool(fake.addr(), 2);
    let of = "backend-server: s1\r\n";

    let page =
        format!("HTTP/1.1 200 OK\r\n{of}transfer-encoding: chunked\r\n\r\n3\r\nice\r\n0\r\n\r\n");
    let (_, mut first) = tokio::join!(log.ask(&pool, get("/tile/4/7")), async {
        let mut peer = fake.accept().await;
        log.serve("first", &mut peer, &page).await;
        peer
    });
    let done =
        format!("HTTP/1.1 201 Created\r\n{of}request-id: 7-2\r\ncontent-length: 2\r\n\r\nok");
    tokio::join!(log.ask(&pool, order("7-2")), log.serve("first", &mut first, &done));
    let refused = format!(
        "HTTP/1.1 409 Conflict\r\n{of}request-refused: stale-token\r\ncontent-length: 0\r\n\r\n"
    );
    tokio::join!(log.ask(&pool, order("7-3")), log.serve("first", &mut first, &refused));
    let cut = format!("HTTP/1.1 201 Created\r\n{of}content-length: 20\r\n\r\nok");
    tokio::join!(log.ask(&pool, order("7-4")), async {
        log.serve("first", &mut first, &cut).await;
        drop(first);
    });
    let crossed = "HTTP/1.1 201 Created\r\nbackend-server: s2\r\ncontent-length: 2\r\n\r\nok";
    let (_, mut second) = tokio::join!(log.ask(&pool, order("7-5")), async {
        let mut peer = fake.accept().await;
        log.serve("second", &mut peer, crossed).await;
        peer
    });
    second.closed().await;
    log.note("pool", &format!("{:?}", pool.snapshot()));
    let gone = Refusing::bind();
    log.ask(&super::pool(gone.addr(), 2), order("7-6")).await;
    insta::assert_snapshot!(log.0.into_inner());
}

use std::time::Duration;

use futures_util::FutureExt;
use jacinthbeam_peer::{
    Client,
    client::{connect, forward::Error},
    server::{self, Handler},
};
use jacinthbeam_types::prelude::Verdict;
use tokio::net::TcpListener;

use crate::support::{agree, any_port, bytes, echo, forward, options};

/// A failure domain is cut off, and callers outside ask for its keys. The connection opens, as
/// systems accept on behalf of their programs, but nobody answers on it. The first request waits
/// for the bound of a connect. Those that follow are refused at once as not run, and the peer is
/// tried again behind them; did each wait for itself, callers would hear near their deadlines.
#[tokio::test]
async fn requests_to_a_peer_that_does_not_answer_fail_at_once() {
    let silent = TcpListener::bind(any_port()).await.unwrap();
    let addr = silent.local_addr().unwrap();
    let mut options = options();
    options.connect = Duration::from_millis(20);
    let client = Client::open(options);
    for sequence in 0.. {
        let mut forwarded = Box::pin(forward(&client, addr, sequence, bytes("x")));
        let at_once = forwarded.as_mut().now_or_never();
        let is_at_once = at_once.is_some();
        let result = match at_once {
            Some(result) => result,
            None => forwarded.await,
        };
        let err = result.unwrap_err();
        assert_eq!(err.verdict(), Verdict::NotRun);
        assert!(matches!(err, Error::Connect(connect::Error::Timeout(_))), "{err:?}");
        if is_at_once {
            return;
        }
    }
}

/// The cut ends. The peer is tried in the background while requests for it go on coming, so they get through again.
#[tokio::test]
async fn peer_that_answers_again_is_reached_again() {
    let silent = TcpListener::bind(any_port()).await.unwrap();
    let addr = silent.local_addr().unwrap();
    let mut options = options();
    options.connect = Duration::from_millis(200);
    let client = Client::open(options);
    forward(&client, addr, 0, bytes("x")).await.unwrap_err();
    drop(silent);
    let handler = Handler { ask: agree, forward: echo };
    let _server = server::bind(addr, server::Options::default(), handler).unwrap();
    let mut sequence = 1;
    while forward(&client, addr, sequence, bytes("x")).await.is_err() {
        sequence += 1;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

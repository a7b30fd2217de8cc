//! The log over HTTP.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use jacinthbeam_native::format::log::{Appended, EARLIEST, END, MAX_RECORD};

use super::{Shared, store::Found};
use crate::net::{Answer, Body, Dropped, answer, json, read_body};

/// Longest wait that a read may ask for.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Bytes of a read that does not say how many.
const DEFAULT_MAX_BYTES: usize = 1 << 20;

/// Answers one request.
pub(super) async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Answer {
    let slow = shared.lock().slow;
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    if shared.lock().down {
        return Ok(down());
    }
    let Some(stream) = req.uri().path().strip_prefix("/streams/").map(str::to_owned) else {
        return Ok(answer(StatusCode::NOT_FOUND, "the log knows only /streams/{stream}"));
    };
    match *req.method() {
        Method::POST => append(&shared, &stream, req).await,
        Method::GET => Ok(read(&shared, &stream, &Query::of(&req)).await),
        _ => Ok(answer(StatusCode::METHOD_NOT_ALLOWED, "the log takes POST and GET")),
    }
}

fn down() -> Response<Body> {
    answer(StatusCode::SERVICE_UNAVAILABLE, "the log is down")
}

async fn append(shared: &Shared, stream: &str, req: Request<Incoming>) -> Answer {
    let record = read_body(req.into_body()).await.ok_or(Dropped)?;
    if record.len() > MAX_RECORD {
        let text = format!("a record has at most {MAX_RECORD} bytes");
        return Ok(answer(StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    let offset = shared.append(stream, record);
    let mut state = shared.lock();
    if state.answers_to_lose > 0 {
        state.answers_to_lose -= 1;
        return Err(Dropped);
    }
    Ok(json(StatusCode::OK, &Appended { offset: offset.0 }))
}

struct Query {
    from: u64,
    max_bytes: usize,
    wait: Duration,
}

impl Query {
    /// Fields that are absent or no numbers take their defaults.
    fn of(req: &Request<Incoming>) -> Self {
        let query = req.uri().query().unwrap_or_default();
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        let max_bytes = number("max_bytes").and_then(|n| usize::try_from(n).ok());
        Self {
            from: number("from").unwrap_or(0),
            max_bytes: max_bytes.unwrap_or(DEFAULT_MAX_BYTES),
            wait: Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT),
        }
    }
}

async fn read(shared: &Shared, stream: &str, query: &Query) -> Response<Body> {
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let mut changed = shared.changed.subscribe();
    let end_of_wait = tokio::time::Instant::now() + query.wait;
    loop {
        let found = shared.kept().store.read(stream, query.from, query.max_bytes);
        let empty = found.frames.as_ref().is_some_and(|frames| frames.is_empty());
        if !empty {
            return found_answer(found);
        }
        if tokio::time::timeout_at(end_of_wait, changed.changed()).await.is_err() {
            return found_answer(found);
        }
        if shared.lock().down {
            return down();
        }
    }
}

fn found_answer(found: Found) -> Response<Body> {
    let mut res = match found.frames {
        Some(frames) => answer(StatusCode::OK, frames),
        None => answer(StatusCode::GONE, "records before the earliest are no longer kept"),
    };
    res.headers_mut().insert(END, HeaderValue::from(found.end));
    res.headers_mut().insert(EARLIEST, HeaderValue::from(found.earliest));
    res
}

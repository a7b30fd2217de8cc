//! HTTP/1.1 servers that end with their handle.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

/// Largest body that is read.
const MOST_BODY: usize = 64 << 20;

/// A listening server. Dropping it closes all its connections at once.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
    /// Requests wait while it is `true`.
    pub(crate) frozen: watch::Sender<bool>,
}

impl Server {
    /// Listens, and answers each request whose body was read whole. `None` closes the connection without an answer.
    pub(crate) async fn bind<F>(
        addr: SocketAddr,
        answer: impl Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = Option<Response<Full<Bytes>>>> + Send + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (frozen, freeze) = watch::channel(false);
        let tasks: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let connections = tasks.clone();
        let accept = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answer, freeze) = (answer.clone(), freeze.clone());
                let service = service_fn(move |req| one(req, answer.clone(), freeze.clone()));
                let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let task = tokio::spawn(async move {
                    // Callers that break off are part of every test.
                    let _ = conn.await;
                });
                let mut tasks = connections.lock().expect("no holder of the lock panics");
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        tasks.lock().expect("no holder of the lock panics").push(accept);
        Ok(Self { addr, tasks, frozen })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let tasks = self.tasks.lock().expect("no holder of the lock panics");
        tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn one<F>(
    req: Request<Incoming>,
    answer: impl Fn(Request<Bytes>) -> F,
    mut freeze: watch::Receiver<bool>,
) -> Result<Response<Full<Bytes>>, Broken>
where
    F: Future<Output = Option<Response<Full<Bytes>>>>,
{
    let (parts, body) = req.into_parts();
    let body = Limited::new(body, MOST_BODY).collect().await.map_err(|_| Broken)?.to_bytes();
    // An error means that the handle is gone, and this task with it.
    let _ = freeze.wait_for(|frozen| !frozen).await;
    answer(Request::from_parts(parts, body)).await.ok_or(Broken)
}

/// The connection ends without an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in closes this connection without an answer")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

//! A server whose responses don't end until the caller closes the connection.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Bytes that are written at a time, about.
const WRITE_BYTES: usize = 16 << 10;

/// Largest head of a request that is read.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What the server sends in response to a request.
#[derive(Debug, Clone)]
pub enum Response {
    /// These bytes, after which the connection can carry another request.
    Whole(String),
    /// `start` once, and then `repeated` for ever.
    Endless {
        /// The first bytes.
        start: String,
        /// What follows again and again.
        repeated: String,
        /// Pause between two writes; zero to write as fast as the caller reads.
        pause: Duration,
    },
}

/// A running server. Dropping it closes its socket; connections end when their callers close them.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    endless: AtomicUsize,
    open: AtomicUsize,
}

impl Server {
    /// Starts a server that responds to the head of each request with what `respond` returns. Bodies of requests must arrive with the head.
    pub async fn bind(
        addr: SocketAddr,
        respond: impl Fn(&str) -> Response + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let counts = Arc::<Counts>::default();
        let shared = counts.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (respond, counts) = (respond.clone(), shared.clone());
                tokio::spawn(async move {
                    // Ends with an error when the caller closes the connection.
                    drop(serve(stream, respond, &counts).await);
                });
            }
        });
        Ok(Self { addr, counts, task })
    }

    /// Number of endless responses that were begun.
    pub fn begun(&self) -> usize {
        self.counts.endless.load(Ordering::SeqCst)
    }

    /// Number of endless responses whose connection the caller has not closed.
    pub fn open(&self) -> usize {
        self.counts.open.load(Ordering::SeqCst)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    respond: impl Fn(&str) -> Response,
    counts: &Counts,
) -> io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        match respond(&head) {
            Response::Whole(response) => stream.write_all(response.as_bytes()).await?,
            Response::Endless { start, repeated, pause } => {
                counts.endless.fetch_add(1, Ordering::SeqCst);
                counts.open.fetch_add(1, Ordering::SeqCst);
                let written = flood(&mut stream, &start, &repeated, pause).await;
                counts.open.fetch_sub(1, Ordering::SeqCst);
                return written;
            }
        }
    }
}

async fn flood(
    stream: &mut TcpStream,
    start: &str,
    repeated: &str,
    pause: Duration,
) -> io::Result<()> {
    stream.write_all(start.as_bytes()).await?;
    let times = if pause.is_zero() { WRITE_BYTES / repeated.len().max(1) + 1 } else { 1 };
    let block = repeated.repeat(times);
    loop {
        stream.write_all(block.as_bytes()).await?;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Reads a request up to the end of its head, and what has arrived of its body.
async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut buf = Vec::new();
    while !buf.windows(4).any(|four| four == b"\r\n\r\n") {
        if buf.len() > MAX_HEAD_BYTES || stream.read_buf(&mut buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

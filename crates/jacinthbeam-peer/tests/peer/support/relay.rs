//! A TCP relay that can forget its connections, and keeps what passed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

use super::any_port;

/// Bytes that passed each way, over all connections.
#[derive(Debug, Default)]
pub(crate) struct Passed {
    pub(crate) to_server: Vec<u8>,
    pub(crate) to_client: Vec<u8>,
}

/// Relays to one server until dropped.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    pub(crate) passed: Arc<Mutex<Passed>>,
    /// Connections with a lower number are silent: still open, but nothing passes.
    forgotten: watch::Sender<usize>,
    accepted: watch::Receiver<usize>,
    accepting: JoinHandle<()>,
}

impl Relay {
    pub(crate) async fn to(server: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let passed = Arc::<Mutex<Passed>>::default();
        let (forgotten, forget) = watch::channel(0);
        let (count, accepted) = watch::channel(0);
        let kept = passed.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = *count.borrow();
                count.send_replace(number + 1);
                let server = TcpStream::connect(server).await.unwrap();
                let (from_client, to_client) = client.into_split();
                let (from_server, to_server) = server.into_split();
                let (up, down) = (kept.clone(), kept.clone());
                let up = move |bytes: &[u8]| up.lock().unwrap().to_server.extend(bytes);
                let down = move |bytes: &[u8]| down.lock().unwrap().to_client.extend(bytes);
                tokio::spawn(pass(from_client, to_server, number, forget.clone(), up));
                tokio::spawn(pass(from_server, to_client, number, forget.clone(), down));
            }
        });
        Self { addr, passed, forgotten, accepted, accepting }
    }

    /// Every connection of now goes silent; later ones work.
    pub(crate) fn forget(&self) {
        self.forgotten.send_replace(self.accepted());
    }

    pub(crate) fn accepted(&self) -> usize {
        *self.accepted.borrow()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: usize,
    forgotten: watch::Receiver<usize>,
    keep: impl Fn(&[u8]),
) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        if *forgotten.borrow() > number {
            // Reads on, so that the writer's socket takes bytes as if all was well.
            continue;
        }
        keep(&buf[..len]);
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
    if *forgotten.borrow() > number {
        std::future::pending::<()>().await;
    }
}

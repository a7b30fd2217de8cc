//! Stand-in for the network between two programs: a TCP relay that fails for chosen sources.
//!
//! It tells the programs that connect to it apart by their IP number, so each needs one of its own,
//! such as `127.1.0.7`.
//!
//! # Deviation
//!
//! The system accepts a connection before the relay sees it. So where a real network would drop the
//! packets that open a connection, here it opens and then stays silent.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{AbortHandle, JoinSet},
};

/// Connections that the kernel holds until they are accepted.
const BACKLOG: u32 = 1024;
/// Bytes that are read at a time.
const CHUNK: usize = 16 << 10;

/// What happens to the bytes of one source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fault {
    /// Nothing passes from the source to the target.
    pub to_target: bool,
    /// Nothing passes from the target back to the source.
    pub to_source: bool,
}

impl Fault {
    /// Nothing passes in either direction.
    pub const BOTH: Self = Self { to_target: true, to_source: true };
}

/// A running relay. Dropping it closes it and its connections.
#[derive(Debug)]
pub struct Handle {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
    /// Bound but not listening, so that nobody else gets the port while connections are refused.
    _keeper: TcpSocket,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    refuses: bool,
    faults: BTreeMap<IpAddr, Fault>,
}

/// Starts a relay that listens on `addr`. Connections are closed at once until there is a target.
/// Must be called inside a tokio runtime.
pub fn spawn(addr: SocketAddr, target: Option<SocketAddr>) -> io::Result<Handle> {
    let keeper = bind(addr)?;
    let addr = keeper.local_addr()?;
    let listener = bind(addr)?.listen(BACKLOG)?;
    let state = Mutex::new(State { target, ..State::default() });
    let shared = Arc::new(Shared { state, changed: watch::Sender::new(()) });
    let task = tokio::spawn(run(shared.clone(), addr, listener)).abort_handle();
    Ok(Handle { addr, shared, task, _keeper: keeper })
}

fn bind(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseport(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

impl Handle {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections that are opened from now on go to this address.
    pub fn set_target(&self, target: SocketAddr) {
        self.change(|state| state.target = Some(target));
    }

    /// Whether new connections are refused, as by a host on which nothing listens.
    pub fn set_refuses(&self, refuses: bool) {
        self.change(|state| state.refuses = refuses);
    }

    /// What happens to the bytes of this source from now on, on open and on new connections. Bytes
    /// that were held back pass once the fault is over, as TCP sends them again.
    pub fn set_fault(&self, source: IpAddr, fault: Fault) {
        self.change(|state| match fault == Fault::default() {
            true => drop(state.faults.remove(&source)),
            false => drop(state.faults.insert(source, fault)),
        });
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.lock());
        self.shared.changed.send_replace(());
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    fn fault(&self, source: IpAddr) -> Fault {
        self.faults.get(&source).copied().unwrap_or_default()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Waits until the state is so.
    async fn until(&self, holds: impl Fn(&State) -> bool) {
        let mut changed = self.changed.subscribe();
        while !holds(&self.lock()) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn run(shared: Arc<Shared>, addr: SocketAddr, mut listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, from)) = accepted {
                    connections.spawn(relay(shared.clone(), stream, from.ip()));
                }
            }
            () = shared.until(|state| state.refuses) => {
                drop(listener);
                shared.until(|state| !state.refuses).await;
                match bind(addr).and_then(|socket| socket.listen(BACKLOG)) {
                    Ok(bound) => listener = bound,
                    Err(err) => return log::error!("relay: can't listen again on {addr}: {err}"),
                }
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(shared: Arc<Shared>, source: TcpStream, from: IpAddr) {
    let Some(target) = shared.lock().target else { return };
    let Ok(target) = TcpStream::connect(target).await else { return };
    let _ = (source.set_nodelay(true), target.set_nodelay(true));
    let (source_read, source_write) = source.into_split();
    let (target_read, target_write) = target.into_split();
    let to_target = pump(&shared, source_read, target_write, from, |fault| fault.to_target);
    let to_source = pump(&shared, target_read, source_write, from, |fault| fault.to_source);
    // An error ends both directions at once: a connection that was reset is gone as a whole.
    let _ = tokio::try_join!(to_target, to_source);
}

async fn pump(
    shared: &Shared,
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    from: IpAddr,
    is_held: impl Fn(Fault) -> bool,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK];
    loop {
        let len = read.read(&mut buf).await?;
        // What was read before the fault began, or while it stands, waits until it is over.
        shared.until(|state| !is_held(state.fault(from))).await;
        if len == 0 {
            return write.shutdown().await;
        }
        write.write_all(&buf[..len]).await?;
    }
}

//! Opens a connection to a peer and waits for its first sign of life.

use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use h2::{Ping, PingPong, client::SendRequest};
use tokio::net::{TcpSocket, TcpStream};

use crate::{
    client::Options,
    connection::{
        Limits, Status,
        io::{Io, Traffic},
    },
};

/// No connection could be opened. Nothing of any request was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The system could not connect.
    Refused(io::ErrorKind),
    /// The peer did not answer on the new connection within the bound.
    Timeout(Duration),
    /// What answers there is no entry host, or closed the connection at once.
    Handshake(String),
    /// The client was dropped.
    Stopped,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(kind) => write!(f, "can't connect to the peer: {kind}"),
            Self::Timeout(bound) => write!(f, "the peer did not answer within {bound:?}"),
            Self::Handshake(why) => write!(f, "the peer did not accept the connection: {why}"),
            Self::Stopped => f.write_str("the client is stopping"),
        }
    }
}

impl std::error::Error for Error {}

type Driver = h2::client::Connection<Io, Bytes>;

/// A connection that the peer has answered on.
pub(crate) struct Opened {
    pub(crate) send: SendRequest<Bytes>,
    pub(crate) driver: Driver,
    pub(crate) ping_pong: PingPong,
    pub(crate) status: Arc<Status>,
}

/// Opens a connection within the bound of the options.
pub(crate) async fn open(addr: SocketAddr, options: &Options) -> Result<Opened, Error> {
    tokio::time::timeout(options.connect, try_open(options.source, addr, &options.limits))
        .await
        .unwrap_or(Err(Error::Timeout(options.connect)))
}

async fn try_open(
    source: Option<IpAddr>,
    addr: SocketAddr,
    limits: &Limits,
) -> Result<Opened, Error> {
    let refused = |err: io::Error| Error::Refused(err.kind());
    let tcp = match source {
        None => TcpStream::connect(addr).await,
        Some(source) => connect_from(source, addr).await,
    };
    let tcp = tcp.map_err(refused)?;
    let traffic = Arc::new(Traffic::default());
    let status = Status::new(traffic.clone());
    let io = Io::new(tcp, traffic).map_err(refused)?;
    let handshake = builder(limits).handshake::<_, Bytes>(io).await;
    let (send, mut driver) = handshake.map_err(|err| Error::Handshake(err.to_string()))?;
    let mut ping_pong = driver.ping_pong().expect("taken only once");
    first_answer(&mut driver, &mut ping_pong).await?;
    Ok(Opened { send, driver, ping_pong, status })
}

async fn connect_from(source: IpAddr, addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(addr).await
}

/// The system of a frozen peer still accepts connections. A request sent there would have to be called
/// `MayHaveRun`; waiting for one answer first makes it `NotRun`.
async fn first_answer(driver: &mut Driver, ping_pong: &mut PingPong) -> Result<(), Error> {
    tokio::select! {
        pong = ping_pong.ping(Ping::opaque()) => {
            pong.map(drop).map_err(|err| Error::Handshake(err.to_string()))
        }
        ended = driver => Err(Error::Handshake(match ended {
            Ok(()) => "it closed the connection".into(),
            Err(err) => err.to_string(),
        })),
    }
}

fn builder(limits: &Limits) -> h2::client::Builder {
    let mut builder = h2::client::Builder::new();
    builder
        .enable_push(false)
        .initial_window_size(limits.stream_window())
        .initial_connection_window_size(limits.connection_window())
        .max_header_list_size(limits.max_header())
        .max_concurrent_reset_streams(limits.max_reset_streams())
        .max_send_buffer_size(limits.stream_window() as usize);
    builder
}

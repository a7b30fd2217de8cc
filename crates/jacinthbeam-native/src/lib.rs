//! Adapters to what the platform gives: its log, its host list and the backend servers.
//!
//! Each adapter is one module with a few public methods; when the users name their real protocol,
//! that one module is replaced. Nothing here decides anything: retries and what to do about an
//! error are the caller's. All calls are bounded in time, need a tokio runtime, and may be dropped
//! at any await: a dropped call closes its connection. Opening a client does no I/O; it connects at
//! the first call.
//!
//! ```text
//! log::Client::open(addr: SocketAddr, timeout: Duration) -> log::Client
//!   async append(&self, stream: &str, record: Vec<u8>) -> Result<Offset, log::append::Error>    Refused | Unknown
//!   async read(&self, stream: &str, from: Offset, max_bytes: u32, wait: Duration)
//!                                                     -> Result<log::read::Batch, log::read::Error>   Expired | Down
//! hosts::Client::open(addr: SocketAddr, timeout: Duration) -> hosts::Client
//!   async list(&self) -> Result<HostList, hosts::Error>
//! grant::Client::open(addr: SocketAddr, server: ServerId, timeout: Duration) -> grant::Client   one per backend server
//!   async query(&self) -> Result<GrantState, grant::Error>
//!   async probe(&self) -> Result<GrantState, grant::Error>                      as query, over a new connection
//!   async grant(&self, grant: &Grant) -> Result<grant::Outcome, grant::Error>   Granted(state) | Refused(state)
//! backend::Pool::open(server: ServerId, addr: SocketAddr, connections: u32, options: backend::Options,
//!                     clock: Arc<dyn Clock>) -> backend::Pool                   one per backend server
//!   async send(&self, req: http::Request<backend::RequestBody>, deadline: Instant)
//!                                                     -> Result<backend::Answer, backend::Failure>
//!   expire(&self)                                     closes connections that were idle for too long
//!   snapshot(&self) -> backend::Snapshot
//! backend::RequestBody = UnsyncBoxBody<Bytes, BoxError>;  backend::empty(), backend::full(bytes), backend::stream(body)
//! backend::Answer = http::Response<backend::AnswerBody>;  AnswerBody: http_body::Body<Data = Bytes, Error = Cut>
//!   async next(&mut self) -> Option<Result<Bytes, Cut>>
//! backend::Failure { verdict: Verdict, reason: Reason, refused: Option<RefusedBecause>, retry_after: Option<Duration> }
//! ```

pub mod backend;
pub mod format;
pub mod grant;
pub mod hosts;
pub mod log;

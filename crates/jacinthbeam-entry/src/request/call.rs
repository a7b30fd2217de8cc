//! What a caller asked for, read from its HTTP request.

use std::{fmt, time::Duration};

use http::{HeaderMap, Method, Uri, request::Parts};
use jacinthbeam_config::{Config, Division, Service};
use jacinthbeam_types::{id::NameError, prelude::*};

/// Request header: milliseconds until the caller stops waiting.
pub const DEADLINE: &str = "jacinthbeam-deadline-ms";
/// Request header: `true` if the caller vouches that a repeat of the request is harmless.
pub const IDEMPOTENT: &str = "jacinthbeam-idempotent";
/// Request header: the caller's own name for the effect it wants at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest key, in bytes after percent decoding.
pub const MAX_KEY: usize = 1024;

/// A request that was understood.
#[derive(Debug, Clone)]
pub struct Call {
    /// Service asked for.
    pub service: ServiceName,
    /// Team that the service's use is counted against.
    pub team: TeamName,
    /// The caller's key; `None` for an undivided service.
    pub key: Option<Vec<u8>>,
    /// Time the caller gives from the arrival of the request.
    pub deadline: Duration,
    /// Whether a repeat is harmless.
    pub idempotent: bool,
    /// See [`IDEMPOTENCY_KEY`].
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Why a request was not understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The path does not begin with the name of a service.
    NoService,
    /// The service's name is not a name.
    BadService(NameError),
    /// No such service is configured.
    UnknownService(ServiceName),
    /// The service is divided by key and the path has no key after the service.
    NoKey(ServiceName),
    /// The key is longer than [`MAX_KEY`].
    LongKey,
    /// The deadline header is no number of milliseconds above 0.
    BadDeadline,
    /// The idempotent header is neither `true` nor `false`.
    BadIdempotent,
    /// The idempotency key is no name, or stands there more than once.
    BadIdempotencyKey,
    /// An idempotency key was sent to an undivided service.
    KeyOfUndivided(ServiceName),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoService => f.write_str("the path must begin with /<service>"),
            Self::BadService(err) => write!(f, "the first part of the path is no service: {err}"),
            Self::UnknownService(name) => write!(f, "no service {name} is configured"),
            Self::NoKey(name) => {
                write!(f, "service {name} is divided by key: the path must be /{name}/<key>/…")
            }
            Self::LongKey => write!(f, "a key has at most {MAX_KEY} bytes"),
            Self::BadDeadline => {
                write!(f, "header {DEADLINE} must be a number of milliseconds above 0")
            }
            Self::BadIdempotent => write!(f, "header {IDEMPOTENT} must be true or false"),
            Self::BadIdempotencyKey => write!(
                f,
                "header {IDEMPOTENCY_KEY} must stand there once, as up to 128 letters, digits and . _ : -"
            ),
            Self::KeyOfUndivided(name) => write!(
                f,
                "service {name} is not divided by key, so it can't remember requests: send no header {IDEMPOTENCY_KEY}"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// The reason class of this error.
    pub fn reason(&self) -> Reason {
        match self {
            Self::UnknownService(_) => Reason::UnknownService,
            _ => Reason::BadRequest,
        }
    }
}

impl Call {
    /// Reads the head of a request.
    pub fn read(parts: &Parts, config: &Config) -> Result<Self, Error> {
        let (name, rest) = split_service(&parts.uri)?;
        let service = config.services.get(&name).ok_or(Error::UnknownService(name.clone()))?;
        let key = match service.division {
            Division::Keyed { .. } => Some(read_key(&name, rest)?),
            Division::Undivided => None,
        };
        let idempotency_key = read_idempotency_key(&parts.headers)?;
        // Its servers come and go without an order between them, so nobody could know whether an earlier one has run the key.
        if key.is_none() && idempotency_key.is_some() {
            return Err(Error::KeyOfUndivided(name));
        }
        Ok(Self {
            team: service.team.clone(),
            key,
            deadline: read_deadline(&parts.headers, service)?,
            idempotent: read_idempotent(&parts.method, &parts.headers, service)?,
            idempotency_key,
            service: name,
        })
    }
}

fn split_service(uri: &Uri) -> Result<(ServiceName, &str), Error> {
    let path = uri.path().strip_prefix('/').ok_or(Error::NoService)?;
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() {
        return Err(Error::NoService);
    }
    let name = service.parse().map_err(Error::BadService)?;
    Ok((name, rest))
}

fn read_key(service: &ServiceName, rest: &str) -> Result<Vec<u8>, Error> {
    let part = rest.split('/').next().unwrap_or_default();
    if part.is_empty() {
        return Err(Error::NoKey(service.clone()));
    }
    let key: Vec<u8> = percent_encoding::percent_decode_str(part).collect();
    if key.len() > MAX_KEY {
        return Err(Error::LongKey);
    }
    Ok(key)
}

fn read_deadline(headers: &HeaderMap, service: &Service) -> Result<Duration, Error> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(service.default_deadline);
    };
    let ms: u64 = value.to_str().ok().and_then(|t| t.parse().ok()).ok_or(Error::BadDeadline)?;
    if ms == 0 {
        return Err(Error::BadDeadline);
    }
    Ok(Duration::from_millis(ms).min(service.max_deadline))
}

fn read_idempotent(method: &Method, headers: &HeaderMap, service: &Service) -> Result<bool, Error> {
    match headers.get(IDEMPOTENT).map(|value| value.as_bytes()) {
        None => Ok(service.idempotent_methods.contains(method.as_str())),
        Some(b"true") => Ok(true),
        Some(b"false") => Ok(false),
        Some(_) => Err(Error::BadIdempotent),
    }
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Error> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Error::BadIdempotencyKey);
    }
    let text = value.to_str().map_err(|_| Error::BadIdempotencyKey)?;
    text.parse().map(Some).map_err(|_| Error::BadIdempotencyKey)
}

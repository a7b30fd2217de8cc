//! Interface of a protocol adapter: plain functions that translate between wire messages and this crate's types.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, request::Parts};
use jacinthbeam_admission::report::StatedLoad;
use jacinthbeam_range::{Key, KeyRange, Owner, grantor::RangeGrant};
use jacinthbeam_route::{Config, Server};
use jacinthbeam_store::Partition;
use jacinthbeam_types::prelude::*;

/// The protocols spoken with callers, backend servers and the store.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// Encoding of the calls to the store.
    pub store: jacinthbeam_store::Wire,
    /// Topics and keys in the store.
    pub store_layout: StoreLayout,
    /// Parses the head of a caller's request.
    pub parse_caller_headers: fn(&Parts) -> Result<CallerHeaders, HeaderError>,
    /// Sets the headers that this host adds to a request to a backend server.
    pub set_forward_headers: fn(&mut HeaderMap, &Forward<'_>),
    /// Classifies the head of a backend server's response, given the id of the request and the server that it was sent to.
    pub classify_response: fn(StatusCode, &HeaderMap, &HeaderValue, &ServerId) -> ResponseKind,
    /// Returns the id of the request that a backend server's response names.
    pub response_id: fn(&HeaderMap) -> Option<&HeaderValue>,
    /// Parses what a backend server states about its own load in the head of a response.
    pub parse_backpressure: fn(StatusCode, &HeaderMap) -> Backpressure,
    /// Sets the headers of a refusal: the retry hint, the verdict, and the id of the request if its head could be parsed.
    pub set_refusal_headers: fn(&mut HeaderMap, Option<&HeaderValue>, &Refusal),
    /// Sets the headers that this host adds to the answer of a backend server.
    pub set_delivered_headers: fn(&mut HeaderMap),
    /// Builds the call that grants keys for a duration.
    pub grant_request: fn(&Owner, &RangeGrant, Duration) -> Request<Bytes>,
    /// Parses the response to a grant.
    pub parse_grant_response: fn(&Owner, &Response<Bytes>) -> Granted,
    /// Builds the call that releases keys.
    pub release_request: fn(&Owner, KeyRange, Token) -> Request<Bytes>,
    /// Parses the response to a release.
    pub parse_release_response: fn(&Owner, &Response<Bytes>) -> Released,
    /// Parses a configuration as kept in the store.
    pub parse_config: fn(&[u8]) -> Result<Config, String>,
    /// Parses the entry of a backend server in the store, given its key and value.
    pub parse_server: fn(&str, &[u8]) -> Result<Server, String>,
}

/// Topics, partitions and keys in the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLayout {
    /// Partition of the operator's records.
    pub operator: fn() -> Partition,
    /// Key of the configuration among the operator's records.
    pub config_key: &'static str,
    /// Key prefix of the operator's records that evacuate a failure domain; followed by the name of the domain.
    pub evacuation_prefix: &'static str,
    /// Partition of the entries of the backend servers.
    pub servers: fn() -> Partition,
    /// Keyed topic of the ownership maps.
    pub maps: &'static str,
    /// Keyed topic in which each host publishes its address and failure domain.
    pub hosts: &'static str,
    /// Keyed topic in which the relays of each failure domain publish the same.
    pub relays: &'static str,
    /// Topic with one partition for each duty to grant keys.
    pub duties: &'static str,
    /// Keyed topic of the usage that each host charges to teams.
    pub usage: &'static str,
}

/// What the headers of a caller's request specify.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Id of this attempt, which is echoed in the response.
    pub id: HeaderValue,
    /// How long the caller waits for a response.
    pub timeout: Option<Duration>,
    /// Key of the request.
    pub key: Option<Key>,
    /// Whether this request may run more than once; `None` if that is determined by its route.
    pub idempotent: Option<bool>,
}

/// Why the headers of a request are invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeaderError {
    /// The attempt has no id.
    NoId,
    /// The header with this name has an invalid value.
    Header(&'static str),
}

/// What this host adds to a request to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// Id of the attempt.
    pub id: &'a HeaderValue,
    /// Time left until the deadline.
    pub left: Duration,
    /// The server that the request is meant for.
    pub server: &'a ServerId,
}

/// Classification of a backend server's response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The answer to the request, which ran.
    Answer {
        /// Whether the request succeeded and the answer is verified, so that it may be forwarded as a success.
        success: bool,
    },
    /// The request did not run: the server is full.
    Full,
    /// The request did not run: the server doesn't own its key.
    NotOwner,
    /// The request did not run: another server, or another incarnation, answered at the address.
    OtherServer,
    /// The request did not run, for another reason.
    Refused,
    /// Not an answer to this request, or one that must not be forwarded. The request may have run.
    Foreign,
}

/// What a backend server states about its own load in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backpressure {
    /// Requests that it takes from all hosts together.
    pub rate_limit: Option<Rate>,
    /// How long it wants no request from this host.
    pub pause: Option<Duration>,
    /// Whether it is draining.
    pub draining: bool,
    /// Its requests and slots at the moment.
    pub stated_load: Option<StatedLoad>,
    /// Name of a header with an invalid value, which counts as absent.
    pub invalid: Option<&'static str>,
}

/// Response to a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granted {
    /// The server holds the keys.
    Held,
    /// The server has seen a higher fencing token for one of the keys.
    HigherSeen,
    /// Another server has the address.
    OtherServer,
    /// None of these.
    Unclear,
}

/// Response to a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Released {
    /// No request for the keys is running any more; with the handover data, if any.
    Done(Option<String>),
    /// Another server has the address.
    OtherServer,
    /// None of these.
    Unclear,
}

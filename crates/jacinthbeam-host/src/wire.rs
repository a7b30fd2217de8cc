//! What an adapter says of the wire: plain functions between messages and this crate's types.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, request::Parts};
use jacinthbeam_range::{Key, KeyRange, Owner, grantor::RangeGrant};
use jacinthbeam_route::{Config, Server};
use jacinthbeam_store::Partition;
use jacinthbeam_types::prelude::*;

/// How everything outside this host speaks.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// Calls to the store.
    pub store: jacinthbeam_store::Wire,
    /// Where things lie in the store.
    pub store_layout: StoreLayout,
    /// What the head of a caller's request says.
    pub parse_caller_headers: fn(&Parts) -> Result<CallerHeaders, HeaderError>,
    /// Sets the headers that a request carries from this host to a backend server.
    pub set_forward_headers: fn(&mut HeaderMap, &Forward<'_>),
    /// What the head of an answer says, given the request's id and the server that was asked.
    pub classify_response: fn(StatusCode, &HeaderMap, &HeaderValue, &ServerId) -> ResponseKind,
    /// Sets what a refusal's head says besides its status: when to come back, what may have become of the request, and its
    /// id if its head could be read.
    pub set_refusal_headers: fn(&mut HeaderMap, Option<&HeaderValue>, &Refusal),
    /// Sets what an answer's head says besides what its backend server said.
    pub set_delivered_headers: fn(&mut HeaderMap),
    /// The call that grants keys for this long.
    pub grant_request: fn(&Owner, &RangeGrant, Duration) -> Request<Bytes>,
    /// What the answer to a grant says.
    pub parse_grant_response: fn(&Owner, &Response<Bytes>) -> Granted,
    /// The call that takes keys back.
    pub release_request: fn(&Owner, KeyRange, Token) -> Request<Bytes>,
    /// What the answer to a release says.
    pub parse_release_response: fn(&Owner, &Response<Bytes>) -> Released,
    /// A configuration as kept in the store.
    pub parse_config: fn(&[u8]) -> Result<Config, String>,
    /// A backend server's entry in the store, given its key.
    pub parse_server: fn(&str, &[u8]) -> Result<Server, String>,
}

/// Names in the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreLayout {
    /// Holds the operator's records.
    pub operator: fn() -> Partition,
    /// Key of the configuration among them.
    pub config_key: &'static str,
    /// What keys of the operator's records begin with that evacuate a failure domain; its name follows.
    pub evacuation_prefix: &'static str,
    /// Holds the entries of the backend servers.
    pub servers: fn() -> Partition,
    /// Keyed topic for the ownership maps.
    pub maps: &'static str,
    /// Keyed topic in which each host says where it is.
    pub hosts: &'static str,
    /// Topic whose partitions stand for the duties to grant.
    pub duties: &'static str,
    /// Keyed topic for what each host counted against teams.
    pub usage: &'static str,
}

/// What a caller's request says besides its method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Name of this attempt of the caller; answers repeat it.
    pub id: HeaderValue,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The key that the request is about.
    pub key: Option<Key>,
    /// Whether this request may run more than once, if the caller says so. Else its route does.
    pub idempotent: Option<bool>,
}

/// Why the head of a request can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeaderError {
    /// The attempt has no name.
    NoId,
    /// A header is not what it should be.
    Header(&'static str),
}

/// What a request carries to a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// Name of the attempt.
    pub id: &'a HeaderValue,
    /// Time left for the answer.
    pub left: Duration,
    /// The server that is meant.
    pub server: &'a ServerId,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The answer to the request: it ran. `success` if it succeeded and is signed.
    Answer {
        /// Whether it may be passed on as a success.
        success: bool,
    },
    /// The request did not run, for want of room.
    Full,
    /// The request did not run: the server doesn't hold its key.
    NotOwner,
    /// The request did not run: another server has the address.
    OtherServer,
    /// The request did not run, for another reason.
    Refused,
    /// Not the answer to this request, or none that may be passed on. The request may have run.
    Foreign,
}

/// What the answer to a grant says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granted {
    /// The keys are held.
    Held,
    /// A higher token was seen on one of the keys.
    HigherSeen,
    /// Another server has the address.
    OtherServer,
    /// None of these.
    Unclear,
}

/// What the answer to a release says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Released {
    /// No request of the keys runs any more; what to hand over.
    Done(Option<String>),
    /// Another server has the address.
    OtherServer,
    /// None of these.
    Unclear,
}

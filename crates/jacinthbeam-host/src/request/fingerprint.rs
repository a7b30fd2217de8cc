//! Fingerprints of requests, which identify attempts at the same request.

use http::header;
use jacinthbeam_crash::{Fingerprint, Suspects, fingerprint::HeadDigest};

use super::send::BufferedRequest;

/// Fingerprint of a request: its method, host, path, query and body.
///
/// The service is not part of it, since a route may lead to another service from one attempt to the next.
pub(super) fn of(request: &BufferedRequest) -> Fingerprint {
    Fingerprint::of(head(request), &request.body)
}

/// Fingerprint of a request if it may be one of `suspects`. The body is hashed only if the head matches one of them.
pub(super) fn of_suspect(suspects: &Suspects, request: &BufferedRequest) -> Option<Fingerprint> {
    if suspects.is_empty() {
        return None;
    }
    let head = head(request);
    suspects.contains_head(head).then(|| Fingerprint::of(head, &request.body))
}

/// Digest of the method, host, path and query of a request.
pub(super) fn head(request: &BufferedRequest) -> HeadDigest {
    let path = request.target.path().as_bytes();
    let query = request.target.query().unwrap_or_default().as_bytes();
    let host = request.headers.get(header::HOST).map_or(&[][..], |host| host.as_bytes());
    HeadDigest::of(&[request.method.as_str().as_bytes(), host, path, query])
}

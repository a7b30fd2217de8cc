//! What makes two attempts the same request.

use http::header;
use jacinthbeam_crash::{Fingerprint, Suspects, fingerprint::HeadDigest};

use super::send::BufferedRequest;

/// The fingerprint of a request: its method, the host and path that its caller named, and its body.
///
/// The service isn't part of it: a route may lead elsewhere from one attempt to the next, and the request goes along.
pub(super) fn of(request: &BufferedRequest) -> Fingerprint {
    Fingerprint::of(head(request), &request.body)
}

/// The same, if it may be one of `suspects`. A body is digested for those alone.
pub(super) fn of_suspect(suspects: &Suspects, request: &BufferedRequest) -> Option<Fingerprint> {
    if suspects.is_empty() {
        return None;
    }
    let head = head(request);
    suspects.contains_head(head).then(|| Fingerprint::of(head, &request.body))
}

/// What the head of a request says.
pub(super) fn head(request: &BufferedRequest) -> HeadDigest {
    let path = request.target.path().as_bytes();
    let query = request.target.query().unwrap_or_default().as_bytes();
    let host = request.headers.get(header::HOST).map_or(&[][..], |host| host.as_bytes());
    HeadDigest::of(&[request.method.as_str().as_bytes(), host, path, query])
}

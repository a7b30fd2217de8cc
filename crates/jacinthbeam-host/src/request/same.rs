//! What makes two attempts the same request.

use http::header;
use jacinthbeam_crash::Fingerprint;

use super::send::Whole;

/// The fingerprint of a request: its method, the host and path that its caller named, and its body.
pub(super) fn fingerprint(whole: &Whole) -> Fingerprint {
    let target = whole.target.to_string();
    let host = whole.headers.get(header::HOST).map_or(&[][..], |host| host.as_bytes());
    Fingerprint::of(&[whole.method.as_str().as_bytes(), host, target.as_bytes(), &whole.body])
}

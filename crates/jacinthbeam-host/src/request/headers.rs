//! Headers that speak of one connection only are kept off the next one.

use http::{HeaderMap, HeaderName, header};

const OF_ONE_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Takes them off, those that `connection` names included. The length and the host stay: without its length a body would be
/// read as the next request.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let kept = [header::CONTENT_LENGTH, header::HOST];
    for name in named.iter().filter(|name| !kept.contains(name)) {
        headers.remove(name);
    }
    for name in &OF_ONE_CONNECTION {
        headers.remove(name);
    }
}

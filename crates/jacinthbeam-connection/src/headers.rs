//! Hop-by-hop headers, which apply to a single connection and must not be forwarded.

use http::{HeaderMap, HeaderName, header};

/// Headers that are never forwarded. `expect` is among them because request bodies are sent without waiting
/// for `100 Continue`.
const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Removes hop-by-hop headers, and the headers named in `connection` unless they are in `kept`.
///
/// `kept` prevents request smuggling: if a sender could have `content-length` removed by naming it in
/// `connection`, the body would be read as the next request.
pub fn strip(headers: &mut HeaderMap, kept: &[HeaderName]) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().filter(|name| !kept.contains(name)) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

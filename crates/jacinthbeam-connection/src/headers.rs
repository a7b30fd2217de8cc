//! Headers that speak of one connection only, and are kept off the next one.

use http::{HeaderMap, HeaderName, header};

/// They end at each connection. `expect` is among them since bodies are sent without waiting.
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

/// Takes them off, those that `connection` names included, but for those in `kept`.
///
/// Whoever could name the length of a body in `connection` would have the body read as the next request.
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
    for name in &OF_ONE_CONNECTION {
        headers.remove(name);
    }
}

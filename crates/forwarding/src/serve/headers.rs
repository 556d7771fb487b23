//! Connection-specific headers.

use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop headers, and the length, which is set anew.
const CONNECTION_HEADERS: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// The headers to forward.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        if !CONNECTION_HEADERS.contains(name) && !named.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Further hop-by-hop headers named by `Connection`.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let options = value.to_str().unwrap_or_default().split(',');
        named.extend(options.filter_map(|option| option.trim().parse().ok()));
    }
    named
}

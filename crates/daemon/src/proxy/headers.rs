//! Header names, and which headers travel on.

use http::header::{
    CONNECTION, EXPECT, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Id that the caller gave its request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of the request, given by the caller or made here.
pub const REQUEST_ID: &str = "skylarkdock-request-id";
/// What became of the request.
pub const OUTCOME: &str = "skylarkdock-outcome";
/// Milliseconds left until nobody waits for the answer.
pub const DEADLINE: &str = "skylarkdock-deadline-ms";
/// The host that forwards the request; a forwarded request is not forwarded again.
pub const HOP: &str = "skylarkdock-hop";
/// The host that a request is forwarded to.
pub const TO: &str = "skylarkdock-to";
/// Digest of a forwarded request's method and body.
pub const DIGEST: &str = "skylarkdock-digest";
/// Signature of a forwarded request's headers.
pub const SIGNATURE: &str = "skylarkdock-signature";
/// Whether the id was made by the forwarding host.
pub const MINTED: &str = "skylarkdock-minted";
/// Hash of the caller, for fairness.
pub const CALLER: &str = "skylarkdock-caller";
/// The host that holds the range, as far as the answering host knows.
pub const HOLDER: &str = "skylarkdock-holder";
/// The service, for the upstream.
pub const SERVICE: &str = "skylarkdock-service";
/// The range, for the upstream.
pub const RANGE: &str = "skylarkdock-range";
/// The key, for the upstream.
pub const KEY: &str = "skylarkdock-key";
/// The fencing token, for the upstream.
pub const TOKEN: &str = "skylarkdock-token";
/// Why an upstream did not run a request.
pub const REFUSED: &str = "skylarkdock-refused";

const OWN_PREFIX: &str = "skylarkdock-";

const HOP_BY_HOP: &[HeaderName] = &[
    CONNECTION,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes headers that concern one connection only.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect();
    for name in named.iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes headers of this project, which only its own processes set.
pub fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes the host header, which names another host than the next one.
pub fn strip_host(headers: &mut HeaderMap) {
    headers.remove(HOST);
}

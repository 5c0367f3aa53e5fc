//! The headers of a request that one host forwards to another, and their signature.

use crate::proxy::headers::{CALLER, DIGEST, HOP, MINTED, REQUEST_ID, SIGNATURE, TO};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_peer::secret::Secret;
use skylarkdock_units::ids::HostId;

const SIGNED_HEADERS: [&str; 6] = [HOP, TO, REQUEST_ID, MINTED, CALLER, DIGEST];

fn signed_parts<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Vec<&'a [u8]> {
    let value = |name: &&str| headers.get(*name).map_or(&[][..], HeaderValue::as_bytes);
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    SIGNED_HEADERS.iter().map(value).chain([path.as_bytes()]).collect()
}

/// Returns the digest of a request's method and body, as the digest header carries it.
pub fn digest(method: &Method, body: &[u8]) -> String {
    Fingerprint::of(&[method.as_str().as_bytes(), body]).to_string()
}

/// Returns whether the digest header of a forwarded request matches its method and body.
pub fn matches_digest(headers: &HeaderMap, method: &Method, body: &[u8]) -> bool {
    headers.get(DIGEST).is_some_and(|value| *value == digest(method, body))
}

/// Returns whether a forwarded request is addressed to a host.
pub fn is_addressed_to(headers: &HeaderMap, host: &HostId) -> bool {
    headers.get(TO).is_some_and(|value| value == host.as_str())
}

/// Signs the headers and the path of a request that is to be forwarded.
pub fn sign(headers: &mut HeaderMap, uri: &Uri, secret: &Secret) {
    let tag = secret.tag(&signed_parts(headers, uri)).to_string();
    if let Ok(value) = HeaderValue::try_from(tag) {
        headers.insert(HeaderName::from_static(SIGNATURE), value);
    }
}

/// Returns whether a request was forwarded and signed by a host that knows the secret.
pub fn has_valid_signature(headers: &HeaderMap, uri: &Uri, secret: &Secret) -> bool {
    if !headers.contains_key(HOP) {
        return false;
    }
    let tag = headers.get(SIGNATURE).and_then(|value| value.to_str().ok());
    tag.is_some_and(|tag| secret.verify(&signed_parts(headers, uri), tag))
}

/// Removes the headers that only a forwarding host may set.
pub fn strip(headers: &mut HeaderMap) {
    for name in SIGNED_HEADERS.into_iter().chain([SIGNATURE]) {
        headers.remove(HeaderName::from_static(name));
    }
}

//! One attempt of a request: sends it, reads the response and checks that it belongs to the request.

use crate::client::{Client, Target};
use crate::failures::Failure;
use crate::history::HistoryEntry;
use crate::plan::PlannedRequest;
use http::{HeaderMap, Request};
use http_body_util::BodyExt;
use skylarkdock_httppath::body::Body;
use std::time::Instant;

const OUTCOME: &str = "skylarkdock-outcome";
const UPSTREAM_KEY: &str = "upstream-key";
const UPSTREAM_REQUEST_ID: &str = "upstream-request-id";
/// Size of the start of a response body that is searched for the key and the request id.
const BODY_PREFIX_BYTES: usize = 1024;

/// Sends the request once and returns the history entry of the attempt.
pub(crate) async fn send(
    client: &Client,
    planned: &PlannedRequest,
    target: &Target,
    req: Request<Body>,
    attempt: u32,
) -> HistoryEntry {
    let start = client.clock.elapsed();
    let mut entry = HistoryEntry {
        id: planned.id,
        attempt,
        key: planned.key.clone(),
        once_only: planned.once_only,
        target: target.addr,
        start_us: client.clock.unix_time_us(start),
        end_us: 0,
        status: None,
        outcome: None,
        failure: None,
        body_bytes: 0,
        whole: false,
        named: None,
        warmup: false,
    };
    let deadline = Instant::now() + client.timeout.duration();
    match client.pool.send(target.addr, req, client.timeout, deadline).await {
        Ok(res) => {
            let (head, body) = res.into_parts();
            entry.status = Some(head.status.as_u16());
            entry.outcome = header_text(&head.headers, OUTCOME).map(str::to_owned);
            let body_prefix = read_body(body, &mut entry).await;
            entry.named = names_request(&head.headers, planned, &body_prefix);
        }
        Err(e) => entry.failure = Some(Failure::from(&e)),
    }
    entry.end_us = client.clock.unix_time_us(client.clock.elapsed());
    entry
}

/// Reads the body, records its size and whether it was complete in `entry`, and returns its first bytes, at most
/// [`BODY_PREFIX_BYTES`].
async fn read_body(mut body: Body, entry: &mut HistoryEntry) -> Vec<u8> {
    let mut prefix = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let Some(data) = frame.data_ref() else { continue };
                entry.body_bytes += data.len() as u64;
                let copied_len = data.len().min(BODY_PREFIX_BYTES - prefix.len());
                prefix.extend_from_slice(&data[..copied_len]);
            }
            Err(e) => {
                entry.failure = Some(Failure::from(&e));
                return prefix;
            }
        }
    }
    entry.whole = true;
    prefix
}

/// Returns whether the key and the request id in the response headers are those of the request and are quoted in the
/// body. Returns `None` if the headers hold neither. Only the id of a once-only request is compared.
fn names_request(
    headers: &HeaderMap,
    planned: &PlannedRequest,
    body_prefix: &[u8],
) -> Option<bool> {
    let key = header_text(headers, UPSTREAM_KEY);
    let id = header_text(headers, UPSTREAM_REQUEST_ID);
    if key.is_none() && id.is_none() {
        return None;
    }
    let body_prefix = String::from_utf8_lossy(body_prefix);
    let body_quotes = |text: &str| body_prefix.contains(&format!("\"{text}\""));
    let key_matches = key.is_none_or(|key| key == planned.key && body_quotes(key));
    let sent_id = planned.once_only.then(|| planned.id.to_string());
    let id_matches =
        id.is_none_or(|id| sent_id.as_ref().is_none_or(|sent| sent == id) && body_quotes(id));
    Some(key_matches && id_matches)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

//! One attempt of one request: sent, answered, and the answer checked.

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
/// Bytes of an answer's start that are searched for the key and the request id.
const SEARCHED_BYTES: usize = 1024;

/// Sends the request once and writes down what came of it.
pub(crate) async fn run(
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
        start_us: client.clock.wall_us(start),
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
            entry.outcome = text(&head.headers, OUTCOME).map(str::to_owned);
            let start = read(body, &mut entry).await;
            entry.named = named(&head.headers, planned, &start);
        }
        Err(e) => entry.failure = Some(Failure::from(&e)),
    }
    entry.end_us = client.clock.wall_us(client.clock.elapsed());
    entry
}

/// Reads the body to its end and returns its first bytes.
async fn read(mut body: Body, entry: &mut HistoryEntry) -> Vec<u8> {
    let mut start = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let Some(data) = frame.data_ref() else { continue };
                entry.body_bytes += data.len() as u64;
                let wanted = data.len().min(SEARCHED_BYTES - start.len());
                start.extend_from_slice(&data[..wanted]);
            }
            Err(e) => {
                entry.failure = Some(Failure::from(&e));
                return start;
            }
        }
    }
    entry.whole = true;
    start
}

/// Returns whether headers and body name the right key and request, if the headers name any.
fn named(headers: &HeaderMap, planned: &PlannedRequest, start: &[u8]) -> Option<bool> {
    let key = text(headers, UPSTREAM_KEY);
    let id = text(headers, UPSTREAM_REQUEST_ID);
    if key.is_none() && id.is_none() {
        return None;
    }
    let start = String::from_utf8_lossy(start);
    let quotes = |name: &str| start.contains(&format!("\"{name}\""));
    let key_right = key.is_none_or(|key| key == planned.key && quotes(key));
    let sent_id = planned.once_only.then(|| planned.id.to_string());
    let id_right = id.is_none_or(|id| sent_id.as_ref().is_none_or(|sent| sent == id) && quotes(id));
    Some(key_right && id_right)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

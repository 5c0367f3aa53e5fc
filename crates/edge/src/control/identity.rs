//! Asks the process at a holder's address for its id, after it refused a release without naming itself.

use super::Control;
use crate::client::{ControlClient, Failure, Outgoing, Reply};
use crate::net::ConnectError;
use metrics::counter;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::table::Holder;
use skylarkdock_units::times::Millis;
use std::fmt;
use std::io::ErrorKind;

/// Time-out of such a request. The process answers it only when it has a free slot, as it does other requests.
const IDENTITY_TIMEOUT: Millis = Millis(1_000);

/// Path by which an answer came: `direct`, or the address of the host over which the call went.
pub(super) struct Path<'a>(pub(super) &'a Reply);

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.via {
            Some(host) => write!(f, "{host}"),
            None => f.write_str("direct"),
        }
    }
}

impl Control {
    /// Asks the process at a holder's address for its id, over the connection on which it answered before if that is
    /// still open, and over another host if there was none. Another id shows that the holder has ended.
    ///
    /// # Errors
    ///
    /// Fails if the answer names the holder itself or no process, or if there is none.
    pub(super) async fn identify(
        &self,
        holder: &Holder,
        client: Option<ControlClient>,
        remaining: Millis,
    ) -> Result<GrantEnd, NotEnded> {
        let timeout = IDENTITY_TIMEOUT.min(remaining);
        let Some(path) = self.health_path(holder) else { return Err(NotEnded::Refused) };
        let req = (self.protocol.build_identity_request)(holder.addr, &path);
        let done = match client {
            Some(mut client) => call_again(&mut client, &req, timeout).await,
            None => {
                let call = self.call_over_detour(holder.addr, &req, timeout);
                call.await.unwrap_or_else(|e| Err(ConnectError::from(e).into()))
            }
        };
        let reply = match done {
            Ok(reply) => reply,
            Err(failure) => {
                log::info!(upstream:% = holder.id, addr:% = holder.addr, error:% = failure; "owners: the process at a holder's address did not name itself");
                count("failed");
                return Err(NotEnded::Refused);
            }
        };
        self.record_answer(holder, &reply);
        let found = (self.protocol.parse_identity)(&reply);
        let end = found.as_ref().and_then(|found| GrantEnd::replaced(holder, found));
        let name = found.as_ref().map_or("", |found| found.as_str());
        log::info!(upstream:% = holder.id, addr:% = holder.addr, path:% = Path(&reply), status = reply.head.status, instance = name; "owners: asked the process at a holder's address for its id");
        count(match (&found, &end) {
            (None, _) => "unnamed",
            (Some(_), None) => "holder",
            (Some(_), Some(_)) => "other",
        });
        end.ok_or(NotEnded::Refused)
    }

    /// Returns the path of the health checks of the upstream that the registry shows at an address, or else of the holder.
    /// The configuration may name neither's service; holders have services with keys.
    fn health_path(&self, holder: &Holder) -> Option<Box<str>> {
        let fleet = self.fleet.borrow();
        let entries = fleet.registry.listed().map(|listed| &listed.entry);
        let newest = entries.filter(|entry| entry.addr == holder.addr).max_by_key(|e| e.born);
        let entry = newest.or_else(|| fleet.registry.entry(&holder.id));
        let services = &fleet.config.as_ref()?.services;
        let named = services.iter().find(|info| entry.is_some_and(|e| e.service == info.name));
        let info = named.or_else(|| services.iter().find(|info| info.is_sharded))?;
        Some(info.health_path.clone())
    }
}

/// Makes a call over the client's connection, or over a new one if the peer has closed that.
async fn call_again(
    client: &mut ControlClient,
    req: &Outgoing,
    timeout: Millis,
) -> Result<Reply, Failure> {
    match client.call(req, timeout).await {
        Err(Failure::NotSent(e)) if e.kind() == ErrorKind::ConnectionReset => {
            client.call(req, timeout).await
        }
        done => done,
    }
}

fn count(result: &'static str) {
    counter!("skylarkdock_identity_requests_total", "result" => result).increment(1);
}

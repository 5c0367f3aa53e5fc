//! HTTP control API of a process that runs links.

use crate::link::faults::FaultsByLink;
use crate::link::relay::{Link, LinkStats};
use crate::responses::{self, Body, NoResponse};
use http::{Method, Request, Response};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

/// Response to `GET /_standin/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatsByLink {
    /// Counters of each link by its listening address.
    pub links: BTreeMap<SocketAddr, LinkStats>,
}

#[derive(Debug, Error)]
#[error("no link listens on {0}")]
struct UnknownLink(SocketAddr);

/// A cloneable handle to the links of a process.
#[derive(Clone)]
pub struct LinkService {
    links: Arc<BTreeMap<SocketAddr, Link>>,
}

impl LinkService {
    /// Creates the control API of `links`, which are keyed by listening address.
    pub fn new(links: BTreeMap<SocketAddr, Link>) -> Self {
        Self { links: Arc::new(links) }
    }

    /// Handles a control request.
    ///
    /// # Errors
    /// Never fails; [`Server::start`](crate::server::Server::start) requires a `Result`.
    pub async fn handle(self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let path = req.uri().path().to_owned();
        let res = match (req.method(), path.as_str()) {
            (&Method::GET, "/_standin/faults") => responses::ok(&self.faults()),
            (&Method::PUT, "/_standin/faults") => self.set_faults(req).await,
            (&Method::GET, "/_standin/stats") => responses::ok(&self.stats()),
            _ => responses::not_found(),
        };
        Ok(res)
    }

    fn faults(&self) -> FaultsByLink {
        let links = self.links.iter().map(|(address, link)| (*address, link.faults()));
        FaultsByLink { links: links.collect() }
    }

    fn stats(&self) -> StatsByLink {
        let links = self.links.iter().map(|(address, link)| (*address, link.stats()));
        StatsByLink { links: links.collect() }
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let faults: FaultsByLink = match responses::read_json(req.into_body()).await {
            Ok(faults) => faults,
            Err(e) => return responses::bad_request(e),
        };
        let unknown = faults.links.keys().find(|address| !self.links.contains_key(address));
        if let Some(unknown) = unknown {
            return responses::bad_request(UnknownLink(*unknown));
        }
        for (address, faults) in faults.links {
            if let Some(link) = self.links.get(&address) {
                link.set_faults(faults);
            }
        }
        responses::ok(&self.faults())
    }
}

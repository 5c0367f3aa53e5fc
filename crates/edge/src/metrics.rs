//! Counters, gauges and histograms, served as text.

use crate::net;
use crate::serve::{self, Answer, Answering, Incoming, Shared};
use async_executor::LocalExecutor;
use eyre::WrapErr;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;
use std::rc::Rc;

/// Upper bounds of the latency histograms' buckets, in seconds: from a quick control call to the longest deadlines.
const BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0];

/// Starts recording.
///
/// # Errors
///
/// Fails if recording was started before.
pub fn start() -> eyre::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .wrap_err("can't set the buckets")?
        .install_recorder()
        .wrap_err("can't install the recorder")
}

/// Serves the metrics. `refresh` sets the gauges first.
pub(crate) fn serve(
    ex: &Rc<LocalExecutor<'static>>,
    addr: SocketAddr,
    handle: PrometheusHandle,
    refresh: impl Fn() + 'static,
) {
    let listener = match net::listen(addr) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!(addr:% = addr, error:% = e; "metrics: can't listen");
            return;
        }
    };
    let handler = Rc::new(move |_: Incoming| -> Answering {
        refresh();
        handle.run_upkeep();
        let mut answer = Answer::empty(200);
        answer.headers.push("Content-Type", "text/plain; version=0.0.4");
        answer.body = handle.render().into_bytes();
        Box::pin(async move { answer })
    });
    let shared = Rc::new(Shared::default());
    ex.spawn(serve::accept(Rc::clone(ex), listener, shared, handler)).detach();
}

//! Metrics recorder, and the endpoint that serves metrics in the Prometheus text format.

use crate::answer::{Answer, OwnStatus};
use crate::listener::ListenerState;
use crate::net;
use crate::serve::{self, AnswerFuture, Incoming};
use async_executor::LocalExecutor;
use eyre::WrapErr;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::net::SocketAddr;
use std::rc::Rc;

/// Upper bounds of the histogram buckets in seconds, from a fast control call to the longest deadline.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0];

/// Installs the global metrics recorder.
///
/// # Errors
///
/// Fails if a recorder is installed already.
pub fn start() -> eyre::Result<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKET_BOUNDS_S)
        .wrap_err("can't set the buckets")?
        .install_recorder()
        .wrap_err("can't install the recorder")
}

/// Serves the metrics. `refresh` updates the gauges before each response.
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
    let handler = Rc::new(move |_: Incoming| -> AnswerFuture {
        refresh();
        handle.run_upkeep();
        let mut answer = Answer::with_body(OwnStatus::Ok, handle.render().into_bytes());
        answer.headers.push("Content-Type", "text/plain; version=0.0.4");
        Box::pin(async move { answer })
    });
    let shared = Rc::new(ListenerState::default());
    ex.spawn(serve::accept(Rc::clone(ex), listener, shared, handler)).detach();
}

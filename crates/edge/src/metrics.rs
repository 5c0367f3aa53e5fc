//! Metrics recorder, and the endpoint that serves metrics in the Prometheus text format.

use crate::answer::{Answer, OwnStatus};
use crate::client_limits::ClientLimits;
use crate::listeners;
use crate::net;
use crate::serve::{self, AnswerFuture, Incoming};
use async_executor::LocalExecutor;
use async_io::Timer;
use eyre::WrapErr;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::rc::Rc;

/// Upper bounds of the histogram buckets in seconds, from a fast control call to the longest deadline.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 20.0];

/// Time after which the values of the histograms are counted in their buckets. Until then each is kept: 33 bytes for a
/// request, so 2.6 MB at 80,000 requests a second.
const UPKEEP_INTERVAL: Millis = Millis(1_000);

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

/// Counts the values of the histograms in their buckets at intervals, which the recorder does only when it is told to.
/// Without that they are kept until somebody reads the metrics.
async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        Timer::after(UPKEEP_INTERVAL.duration()).await;
        handle.run_upkeep();
    }
}

/// Serves the metrics. `refresh` updates the gauges before each response.
pub(crate) fn serve(
    ex: &Rc<LocalExecutor<'static>>,
    (addr, limits): (SocketAddr, ClientLimits),
    handle: PrometheusHandle,
    refresh: impl Fn() + 'static,
) {
    ex.spawn(run_upkeep(handle.clone())).detach();
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
    let shared = listeners::for_checks("metrics", limits);
    ex.spawn(serve::accept(Rc::clone(ex), listener, shared, handler)).detach();
}

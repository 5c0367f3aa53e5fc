//! Startup and shutdown of an entry host: its threads and listeners.

use crate::answer::{Answer, OwnStatus};
use crate::clock;
use crate::control::Control;
use crate::listener::{ListenerState, ShutdownEnds};
use crate::listeners;
use crate::memory;
use crate::net;
use crate::serve::{self, AnswerFuture, Incoming};
use crate::settings::Settings;
use crate::status::Status;
use crate::store::Store;
use crate::tasks;
use crate::traffic::{Sample, Traffic};
use crate::upstreams::Protocol;
use crate::view::Publication;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use eyre::{WrapErr, eyre};
use futures_lite::{FutureExt, StreamExt, future};
use metrics::gauge;
use skylarkdock_dispatch::descriptors::Shares;
use skylarkdock_dispatch::memory_budget;
use skylarkdock_dispatch::shutdown::Shutdown;
use skylarkdock_units::times::Millis;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

/// Size of the stack of the control thread, in bytes. Polling a call to an upstream or a host in an unoptimized build takes more
/// than 512 KiB of it; only the pages that are used take memory.
const CONTROL_STACK_SIZE: usize = 8 * 1024 * 1024;
/// Interval at which the conditions for the exit are checked.
const SHUTDOWN_CHECK_INTERVAL: Millis = Millis(50);

/// Channels and state shared between the two threads.
struct ThreadLinks {
    publications: (Sender<Publication>, Receiver<Publication>),
    samples: (Sender<Sample>, Receiver<Sample>),
    status: Arc<Status>,
}

/// Runs a host until it receives a stop signal. A host shuts down in the same way if one of its tasks panics, as it would
/// serve by what it last knew.
///
/// # Errors
///
/// Fails if a listener, a thread, the metrics recorder or the signal handler can't be started, and after a panic.
pub fn run(
    settings: Settings,
    protocol: Protocol,
    store: impl FnOnce() -> Store + Send + 'static,
) -> eyre::Result<()> {
    let budget = settings.client_limits.budget;
    memory::set_budget(budget.unwrap_or_else(|| {
        memory_budget::budget_of(settings.memory.unwrap_or(memory_budget::DEFAULT_MEMORY))
    }));
    let links = ThreadLinks {
        publications: async_channel::unbounded(),
        samples: async_channel::bounded(8),
        status: Arc::default(),
    };
    let handle = crate::metrics::start()?;
    let control = {
        let settings = settings.clone();
        let (publications, samples) = (links.publications.0.clone(), links.samples.1.clone());
        let status = Arc::clone(&links.status);
        move || {
            let ex = Rc::new(LocalExecutor::new());
            let control = Control::start(
                settings,
                protocol,
                store(),
                Rc::clone(&ex),
                publications,
                samples,
                status,
            );
            control.serve_metrics(handle);
            future::block_on(ex.run(std::future::pending::<()>()));
        }
    };
    thread::Builder::new()
        .name("control".to_owned())
        .stack_size(CONTROL_STACK_SIZE)
        .spawn(control)
        .wrap_err("can't start the control thread")?;
    let ex = Rc::new(LocalExecutor::new());
    let serving = serve_callers(settings, protocol, links, Rc::clone(&ex));
    future::block_on(ex.run(serving))
}

async fn serve_callers(
    settings: Settings,
    protocol: Protocol,
    links: ThreadLinks,
    ex: Rc<LocalExecutor<'static>>,
) -> eyre::Result<()> {
    let callers = net::listen(settings.callers).wrap_err("can't listen for callers")?;
    let readiness =
        net::listen(settings.readiness).wrap_err("can't listen for readiness checks")?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Hup]).wrap_err("can't install the signal handler")?;
    let shared = Rc::new(ListenerState::default());
    shared.client_limits.set(settings.client_limits);
    let limit = net::descriptor_limit(settings.descriptors);
    let shares = Shares::of(limit);
    let Shares { control, upstreams, callers: of_callers } = shares;
    shared.shares.set(Some(shares));
    gauge!("skylarkdock_descriptor_limit").set(f64::from(limit.0));
    for (purpose, share) in
        [("control", control), ("upstreams", upstreams), ("callers", of_callers)]
    {
        gauge!("skylarkdock_descriptor_share", "purpose" => purpose).set(f64::from(share));
    }
    let traffic = Traffic::start(
        settings.clone(),
        protocol,
        Rc::clone(&ex),
        Rc::clone(&shared),
        Arc::clone(&links.status),
        links.publications.1,
        links.samples.0,
    );
    let handler = Rc::new(move |req: Incoming| traffic.answer(req));
    let accept = serve::accept(Rc::clone(&ex), callers, Rc::clone(&shared), handler);
    tasks::spawn(&ex, &links.status, "callers", accept);
    let ready_handler = {
        let shared = Rc::clone(&shared);
        let status = Arc::clone(&links.status);
        Rc::new(move |_: Incoming| -> AnswerFuture {
            let is_ready =
                status.is_ready() && !status.is_config_outdated() && !shared.is_leaving.get();
            let status = if is_ready { OwnStatus::Ok } else { OwnStatus::Unavailable };
            Box::pin(async move { Answer::empty(status) })
        })
    };
    let ready_shared = listeners::for_checks("readiness", settings.client_limits);
    let accept = serve::accept(Rc::clone(&ex), readiness, ready_shared, ready_handler);
    tasks::spawn(&ex, &links.status, "readiness", accept);
    log::info!(host:% = settings.host, zone:% = settings.zone, first_start = settings.is_first_start, descriptors:% = limit, control = control, upstreams = upstreams, callers = of_callers; "host: started");
    let fault = async {
        let task = links.status.wait_for_fault().await;
        Err(eyre!("the task {task} has panicked"))
    };
    let end = wait_for_stop_signal(&mut signals).or(fault).await;
    shut_down(&settings, &shared, &links.status).await;
    end
}

async fn wait_for_stop_signal(signals: &mut Signals) -> eyre::Result<()> {
    while let Some(signal) = signals.next().await {
        match signal.wrap_err("can't receive signals")? {
            Signal::Hup => log::info!("host: settings are read at the next start"),
            _ => break,
        }
    }
    Ok(())
}

/// Shuts the host down: finishes the requests in flight while the load balancer sends new callers to other hosts.
async fn shut_down(settings: &Settings, shared: &ListenerState, status: &Status) {
    log::info!(in_flight = shared.in_flight.get(), open = shared.open.get(),
        grace:% = settings.grace; "host: leaving");
    let shutdown = Shutdown::new(clock::now(), settings.grace);
    shared.start_shutdown(shutdown);
    status.set_leaving();
    let mut last_busy_at = clock::now();
    loop {
        let now = clock::now();
        if shared.busy.get() > 0 || status.forwarding() > 0 {
            last_busy_at = now;
        }
        if shutdown.may_exit(last_busy_at, now) {
            break;
        }
        Timer::after(SHUTDOWN_CHECK_INTERVAL.duration()).await;
    }
    let ShutdownEnds { answered, refused, unknown } = shared.shutdown_ends.get();
    log::info!(in_flight = shared.in_flight.get(), busy = shared.busy.get(),
        forwarding = status.forwarding(), open = shared.open.get(), answered = answered,
        refused = refused, unknown = unknown; "host: stopped");
}

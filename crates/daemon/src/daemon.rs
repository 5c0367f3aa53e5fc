//! Assembles, starts and stops the daemon.

use crate::clock;
use crate::control::events::Event;
use crate::control::{Control, Dependencies, log};
use crate::http_handler::HttpHandler;
use crate::links::Links;
use crate::proxy::Router;
use crate::rpc::Rpc;
use crate::settings::Settings;
use crate::shared_state::{LogProof, SharedServingState};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::{FutureExt, StreamExt};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use skylarkdock_admin::status::ServingState;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::{Server, Shutdown};
use skylarkdock_logclient::{HostList, Log};
use skylarkdock_units::ids::{HostId, Incarnation, Member};
use skylarkdock_units::times::Millis;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// Capacity of the control thread's event queue and of the channels that feed it.
const EVENT_QUEUE_CAPACITY: usize = 16_384;
const METRICS_UPKEEP_INTERVAL_MS: Millis = Millis(5_000);
const HOST_LIST_MIN_INTERVAL_MS: Millis = Millis(1_000);
const HOST_LIST_INTERVAL_MS: Millis = Millis(15_000);
/// Shortest time between the start of draining and the close of the listener, in which load balancers and hosts notice
/// that this host leaves.
const DRAIN_NOTICE_MS: Millis = Millis(1_000);
const MAX_CONNECTIONS_PER_HOST: usize = 256;
const CONTROL_THREADS: usize = 1;

/// A daemon that has bound its listen addresses and does not serve yet.
pub struct Daemon {
    control_executor: Executor,
    traffic_executor: Executor,
    server: Server,
    http_handler: Arc<HttpHandler>,
    control: Control,
    events: Sender<Event>,
    incoming_events: Receiver<Event>,
    serving_state: SharedServingState,
}

impl Daemon {
    /// Binds the listen addresses, starts the threads and builds the components.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub fn start(mut settings: Settings) -> eyre::Result<Self> {
        let metrics = PrometheusBuilder::new()
            .install_recorder()
            .wrap_err("can't install the metrics recorder")?;
        let control_executor = Executor::start("control", CONTROL_THREADS)
            .wrap_err("can't start the control thread")?;
        let threads = usize::try_from(settings.traffic_threads).unwrap_or(1);
        let traffic_executor =
            Executor::start("traffic", threads).wrap_err("can't start the traffic threads")?;
        let peer_listener = listen(settings.peer_listen)
            .wrap_err("can't bind the address for other hosts (--peer-listen)")?;
        let http_listener = listen(settings.http_listen)
            .wrap_err("can't bind the address for callers (--http-listen)")?;
        let server = Server::builder(http_listener, traffic_executor.clone())
            .stop_timeout(settings.drain_limit)
            .build();
        // Replaces port 0 by the port that the operating system chose.
        settings.peer_listen = peer_listener.get_ref().local_addr()?;
        settings.http_listen = server.local_addr()?;
        print_addresses(&settings);

        let admin_token = settings.admin_token.clone();
        let me = Member {
            host: settings.host_id.clone(),
            incarnation: Incarnation(clock::wall_time().0),
        };
        control_executor.spawn(run_metrics_upkeep(metrics.clone())).detach();
        let (events, incoming_events) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        let links = Links::new(me.clone(), settings.secret.clone(), control_executor.clone());
        links.accept(peer_listener, event_channel(&control_executor, events.clone(), Event::Link));
        let pool = Pool::builder(control_executor.clone()).build();
        let log_client = Log::new(pool.clone(), settings.log);
        let host_list = HostList::new(pool.clone(), settings.host_list);
        control_executor.spawn(log::follow(log_client.clone(), events.clone())).detach();
        let (new_host, new_host_seen) = async_channel::bounded(1);
        control_executor
            .spawn(poll_host_list(host_list, me.host.clone(), events.clone(), new_host_seen))
            .detach();

        let table = Arc::default();
        let serving_state = SharedServingState::default();
        let log_proof = LogProof::default();
        let router = Arc::new(Router {
            me: me.clone(),
            table: Arc::clone(&table),
            upstreams: Pool::builder(traffic_executor.clone()).build(),
            hosts: Pool::builder(traffic_executor.clone())
                .max_open(MAX_CONNECTIONS_PER_HOST)
                .build(),
            executor: traffic_executor.clone(),
            reports: event_channel(&control_executor, events.clone(), Event::Report),
            serving_state: serving_state.clone(),
            log_proof: log_proof.clone(),
            secret: settings.secret.clone(),
            slow_hosts: Mutex::default(),
        });
        let rpc = Rpc::new(events.clone()).wrap_err("can't register the admin methods")?;
        let http_handler = Arc::new(HttpHandler {
            router,
            rpc,
            metrics,
            serving_state: serving_state.clone(),
            admin_token,
        });
        let control = Control::new(Dependencies {
            settings,
            me,
            executor: control_executor.clone(),
            pool,
            log: log_client,
            links: Arc::new(links),
            table,
            serving_state: serving_state.clone(),
            log_proof,
            events: events.clone(),
            host_list_requests: new_host,
        });
        Ok(Self {
            control_executor,
            traffic_executor,
            server,
            http_handler,
            control,
            events,
            incoming_events,
            serving_state,
        })
    }

    /// Serves until a signal or a drain call stops the daemon, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if signals can't be received.
    pub fn run(self) -> eyre::Result<()> {
        let Self {
            control_executor,
            traffic_executor,
            server,
            http_handler,
            control,
            events,
            incoming_events,
            serving_state,
        } = self;
        let signals =
            Signals::new([Signal::Term, Signal::Int]).wrap_err("can't register signal handlers")?;
        let shutdown = server.shutdown();
        let (running, control_ended) = async_channel::bounded::<()>(1);
        let run_control = async move {
            control.run(incoming_events).await;
            drop(running);
        };
        control_executor.spawn(run_control).detach();
        control_executor.spawn(drain_on_signal(signals, events)).detach();
        control_executor.spawn(stop_after_drain(serving_state, shutdown, control_ended)).detach();
        let served = async_io::block_on(server.serve(move |req, remote| {
            let http_handler = Arc::clone(&http_handler);
            async move { http_handler.handle(req, remote).await }
        }));
        ::log::info!("daemon: HTTP server stopped: {served:?}.");
        traffic_executor.stop();
        control_executor.stop();
        Ok(())
    }
}

/// Prints the listen addresses to standard output for the process that started the daemon.
fn print_addresses(settings: &Settings) {
    println!("peer {}", settings.peer_listen);
    println!("listening {}", settings.http_listen);
    ::log::info!("daemon: listening for callers on {}.", settings.http_listen);
}

fn listen(addr: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr)
}

/// Returns a channel whose items are forwarded to the control thread as events.
fn event_channel<T: Send + 'static>(
    control_executor: &Executor,
    events: Sender<Event>,
    wrap: fn(T) -> Event,
) -> Sender<T> {
    let (items, received) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
    let forward = async move {
        while let Ok(item) = received.recv().await {
            if events.send(wrap(item)).await.is_err() {
                return;
            }
        }
    };
    control_executor.spawn(forward).detach();
    items
}

/// Periodically aggregates histogram samples, which otherwise accumulate in memory until the next scrape.
async fn run_metrics_upkeep(metrics: PrometheusHandle) {
    loop {
        Timer::after(METRICS_UPKEEP_INTERVAL_MS.duration()).await;
        metrics.run_upkeep();
    }
}

/// Fetches the host list at regular intervals, and earlier if the control thread saw a new host. Uses the short
/// interval while the list names no other host.
async fn poll_host_list(list: HostList, me: HostId, events: Sender<Event>, new_host: Receiver<()>) {
    let mut is_only_host = true;
    while !events.is_closed() {
        if let Ok(hosts) = list.fetch(&me).await {
            is_only_host = hosts.len() <= 1;
            // The channel is closed only after the control thread has ended.
            let _ = events.send(Event::HostListFetched(hosts)).await;
        }
        Timer::after(HOST_LIST_MIN_INTERVAL_MS.duration()).await;
        if is_only_host {
            continue;
        }
        let elapsed = async {
            Timer::after(HOST_LIST_INTERVAL_MS.duration()).await;
        };
        let notified = async {
            if new_host.recv().await.is_err() {
                futures_lite::future::pending::<()>().await;
            }
        };
        elapsed.or(notified).await;
    }
}

async fn drain_on_signal(mut signals: Signals, events: Sender<Event>) {
    while signals.next().await.is_some() {
        // The channel is closed only after the control thread has ended.
        let _ = events.send(Event::Leave).await;
    }
}

/// Drains the server once the host is draining or the control thread has ended. Stops it once the leases are released,
/// which ends the control thread, and `DRAIN_NOTICE_MS` have elapsed.
async fn stop_after_drain(
    serving_state: SharedServingState,
    shutdown: Shutdown,
    control_ended: Receiver<()>,
) {
    while serving_state.get() != ServingState::Draining {
        let ended = async { control_ended.recv().await.is_err() };
        let wait = async {
            Timer::after(Millis(20).duration()).await;
            false
        };
        if ended.or(wait).await {
            break;
        }
    }
    let notice = Timer::after(DRAIN_NOTICE_MS.duration());
    shutdown.drain();
    let _ = control_ended.recv().await;
    notice.await;
    shutdown.stop();
}

//! The daemon: what it is made of, and how it starts and stops.

use crate::clock;
use crate::control::events::Event;
use crate::control::{Control, Dependencies, log};
use crate::exchange::Phase;
use crate::front::Front;
use crate::links::Links;
use crate::proxy::Router;
use crate::rpc::Rpc;
use crate::settings::Settings;
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

const EVENTS: usize = 16_384;
const UPKEEP_MS: Millis = Millis(5_000);
const HOST_LIST_MIN_MS: Millis = Millis(1_000);
const HOST_LIST_MS: Millis = Millis(15_000);
/// Time for balancers and hosts to notice that this host leaves, before it stops listening.
const NOTICE_MS: Millis = Millis(1_000);
const MAX_CONNECTIONS_PER_HOST: usize = 256;
const CONTROL_THREADS: usize = 1;

/// A daemon that has bound its addresses.
pub struct Daemon {
    control: Executor,
    traffic: Executor,
    server: Server,
    front: Arc<Front>,
    state: Control,
    events: Sender<Event>,
    inbox: Receiver<Event>,
    phase: Phase,
}

impl Daemon {
    /// Binds the addresses and builds the parts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread not started.
    pub fn start(mut settings: Settings) -> eyre::Result<Self> {
        let metrics =
            PrometheusBuilder::new().install_recorder().wrap_err("can't install metrics")?;
        let control = Executor::start("control", CONTROL_THREADS)
            .wrap_err("can't start the control thread")?;
        let threads = usize::try_from(settings.traffic_threads).unwrap_or(1);
        let traffic =
            Executor::start("traffic", threads).wrap_err("can't start the traffic threads")?;
        let peer_listener = listen(settings.peer_listen).wrap_err("can't listen for hosts")?;
        let http_listener = listen(settings.http_listen).wrap_err("can't listen for callers")?;
        let server = Server::builder(http_listener, traffic.clone())
            .stop_timeout(settings.drain_limit)
            .build();
        // With port 0 the operating system chose the ports.
        settings.peer_listen = peer_listener.get_ref().local_addr()?;
        settings.http_listen = server.local_addr()?;
        announce(&settings);

        let admin_token = settings.admin_token.clone();
        let me = Member {
            host: settings.host_id.clone(),
            incarnation: Incarnation(clock::wall_time().0),
        };
        control.spawn(keep_up(metrics.clone())).detach();
        let (events, inbox) = async_channel::bounded(EVENTS);
        let links = Links::new(me.clone(), settings.secret.clone(), control.clone());
        links.accept(peer_listener, as_events(&control, events.clone(), Event::Link));
        let pool = Pool::builder(control.clone()).build();
        let log_client = Log::new(pool.clone(), settings.log);
        let host_list = HostList::new(pool.clone(), settings.host_list);
        control.spawn(log::follow(log_client.clone(), events.clone())).detach();
        let (new_host, seen) = async_channel::bounded(1);
        control.spawn(poll_hosts(host_list, me.host.clone(), events.clone(), seen)).detach();

        let table = Arc::default();
        let phase = Phase::default();
        let router = Arc::new(Router {
            me: me.clone(),
            table: Arc::clone(&table),
            upstreams: Pool::builder(traffic.clone()).build(),
            hosts: Pool::builder(traffic.clone()).max_open(MAX_CONNECTIONS_PER_HOST).build(),
            executor: traffic.clone(),
            reports: as_events(&control, events.clone(), Event::Report),
            phase: phase.clone(),
            secret: settings.secret.clone(),
            slow: Mutex::default(),
        });
        let rpc = Rpc::new(events.clone()).wrap_err("can't build the admin calls")?;
        let front = Arc::new(Front { router, rpc, metrics, phase: phase.clone(), admin_token });
        let state = Control::new(Dependencies {
            settings,
            me,
            executor: control.clone(),
            pool,
            log: log_client,
            links: Arc::new(links),
            table,
            phase: phase.clone(),
            events: events.clone(),
            host_list_requests: new_host,
        });
        Ok(Self { control, traffic, server, front, state, events, inbox, phase })
    }

    /// Runs until a signal or an operator stops it, then leaves gracefully.
    ///
    /// # Errors
    ///
    /// Returns an error if signals can't be received.
    pub fn run(self) -> eyre::Result<()> {
        let Self { control, traffic, server, front, state, events, inbox, phase } = self;
        let signals = Signals::new([Signal::Term, Signal::Int]).wrap_err("can't take signals")?;
        let shutdown = server.shutdown();
        let (left, has_left) = async_channel::bounded::<()>(1);
        let run_control = async move {
            state.run(inbox).await;
            drop(left);
        };
        control.spawn(run_control).detach();
        control.spawn(leave_on_signal(signals, events)).detach();
        control.spawn(stop_after_leaving(phase, shutdown, has_left)).detach();
        let served = async_io::block_on(server.serve(move |req, remote| {
            let front = Arc::clone(&front);
            async move { front.answer(req, remote).await }
        }));
        ::log::info!("daemon: stopped, {served:?}.");
        traffic.stop();
        control.stop();
        Ok(())
    }
}

/// Tells whoever started the process where it listens.
fn announce(settings: &Settings) {
    println!("peer {}", settings.peer_listen);
    println!("listening {}", settings.http_listen);
    ::log::info!("daemon: listening for callers on {}.", settings.http_listen);
}

fn listen(addr: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(addr)
}

/// Returns a channel whose items reach the control thread as events.
fn as_events<T: Send + 'static>(
    control: &Executor,
    events: Sender<Event>,
    wrap: fn(T) -> Event,
) -> Sender<T> {
    let (tx, rx) = async_channel::bounded(EVENTS);
    let pass = async move {
        while let Ok(item) = rx.recv().await {
            if events.send(wrap(item)).await.is_err() {
                return;
            }
        }
    };
    control.spawn(pass).detach();
    tx
}

/// Folds the samples of histograms, which would pile up until somebody scrapes them.
async fn keep_up(metrics: PrometheusHandle) {
    loop {
        Timer::after(UPKEEP_MS.duration()).await;
        metrics.run_upkeep();
    }
}

/// Fetches the host list now and then, and soon after the control thread saw a host that is new.
async fn poll_hosts(list: HostList, me: HostId, events: Sender<Event>, new_host: Receiver<()>) {
    let mut alone = true;
    while !events.is_closed() {
        if let Ok(hosts) = list.fetch(&me).await {
            alone = hosts.len() <= 1;
            // The control thread is gone when the channel is closed.
            let _ = events.send(Event::HostListFetched(hosts)).await;
        }
        Timer::after(HOST_LIST_MIN_MS.duration()).await;
        if alone {
            continue;
        }
        let passed = async {
            Timer::after(HOST_LIST_MS.duration()).await;
        };
        let nudged = async {
            if new_host.recv().await.is_err() {
                futures_lite::future::pending::<()>().await;
            }
        };
        passed.or(nudged).await;
    }
}

async fn leave_on_signal(mut signals: Signals, events: Sender<Event>) {
    while signals.next().await.is_some() {
        // The control thread is gone when the channel is closed.
        let _ = events.send(Event::Leave).await;
    }
}

/// Stops listening once the leases are gone and everyone had time to notice.
async fn stop_after_leaving(phase: Phase, shutdown: Shutdown, has_left: Receiver<()>) {
    while phase.get() != ServingState::Draining {
        let left = async { has_left.recv().await.is_err() };
        let wait = async {
            Timer::after(Millis(20).duration()).await;
            false
        };
        if left.or(wait).await {
            break;
        }
    }
    let noticed = Timer::after(NOTICE_MS.duration());
    shutdown.drain();
    let _ = has_left.recv().await;
    noticed.await;
    shutdown.stop();
}

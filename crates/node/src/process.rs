//! The node process: starts the services and stops them gracefully on a signal.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use hyper::StatusCode;
use kernel::StopSignal;
use platform::StoreClient;
use serving::StopWindow;
use settings::{NodeSettings, SettingsError};
use web::{ServerLimits, WebRequest, WebResponse, WebServer, text_reply};

use crate::block_store::keep_blocks;
use crate::caller_server::{answer_caller, refuse_connection};
use crate::context::{NodeContext, install_read_budget};
use crate::error::{NodeError, Result};
use crate::follow_configuration::follow_configuration;
use crate::follow_nodes::follow_nodes;
use crate::follow_runners::RunnerFeed;
use crate::lookups::{ADDRESS_HOLD_TIME, answer_lookup, answer_readiness};
use crate::loop_watch::{watch_lag, watch_loop};
use crate::metrics::NodeMetrics;
use crate::peer_link::PeerLink;
use crate::peer_server::answer_peer;
use crate::reach::watch_reach;
use crate::router::RouterService;
use crate::runner_poll::poll_runners;
use crate::signals::{NodeSignals, follow_reloads, log_repeated_stops};
use crate::stop_intake::{cut_streams, log_stop_end};
use crate::store_reader::StoreReader;

/// Timeout of one exchange with the store, in addition to the requested wait. The store
/// normally answers within a few milliseconds; a slow store takes up to a hundred times as
/// long.
const STORE_TIMEOUT: TimeSpan = TimeSpan::millis(900);
/// Time that an idle caller connection is kept; longer than callers wait before reusing one.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::seconds(15);
/// Maximum size of a request head, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// File descriptors reserved for files and servers.
const RESERVED_DESCRIPTORS: usize = 300;
/// Minimum time between the stop signal and the exit: callers keep addresses for as long.
const MIN_STOP_TIME: TimeSpan = TimeSpan::millis(2_500);
/// Part of the stop time that is reserved for the exit of the process itself.
const EXIT_RESERVE: TimeSpan = TimeSpan::millis(400);
/// Part of that reserve for writing the last answers; a node that has stood still first reads what has
/// arrived meanwhile.
const WRITE_RESERVE: TimeSpan = TimeSpan::millis(100);
/// Interval at which a stopping node checks whether the last request has ended.
const STOP_POLL: TimeSpan = TimeSpan::millis(50);
/// Interval at which it then checks whether its servers have ended.
const DRAIN_POLL: TimeSpan = TimeSpan::millis(10);
/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Runs a node until it has stopped gracefully.
///
/// `read_settings` is called after each SIGHUP to reload the settings.
///
/// # Errors
/// Returns an error if a socket cannot be bound or signals cannot be handled.
pub async fn run_node(
    settings: NodeSettings,
    signals: NodeSignals,
    read_settings: impl Fn() -> std::result::Result<NodeSettings, SettingsError> + 'static,
) -> Result<()> {
    let (runner_changes, changed_runners) = mpsc::channel(1);
    let (block_changes, changed_blocks) = mpsc::channel(1);
    install_read_budget(&settings);
    let context = NodeContext::new(settings, runner_changes, block_changes);
    tracing::info!(
        event = "start",
        vm = %context.settings.vm,
        place = %context.settings.place,
        incarnation = %context.incarnation,
        version = env!("CARGO_PKG_VERSION"),
    );
    let (heartbeat_requests, requested_heartbeats) = mpsc::channel(1);
    let router = RouterService::new(&context, heartbeat_requests);
    let observer = Rc::clone(&context);
    let observe_era = Rc::new(move |era| observer.observe_store_era(era, "store"));
    let store = StoreClient::new(context.settings.store, STORE_TIMEOUT, observe_era);
    let stop = StopSignal::new();
    let servers = start_servers(&context, &router, &stop).await?;
    let link = PeerLink::open(&context, &router).await.map_err(NodeError::PeerSocket)?;
    kernel::spawn(Rc::clone(&link).run_sending(requested_heartbeats)).detach();
    kernel::spawn(Rc::clone(&link).run_receiving()).detach();
    let reader = StoreReader::new(&context, store.clone());
    kernel::spawn(follow_configuration(Rc::clone(&context), Rc::clone(&router), reader)).detach();
    let reader = StoreReader::new(&context, store.clone());
    kernel::spawn(RunnerFeed::new(&context, &router, &link, reader).run()).detach();
    kernel::spawn(follow_nodes(Rc::clone(&context), store.clone())).detach();
    kernel::spawn(keep_blocks(Rc::clone(&context), store, changed_blocks)).detach();
    kernel::spawn(poll_runners(Rc::clone(&context), Rc::clone(&router))).detach();
    kernel::spawn(watch_reach(Rc::clone(&context))).detach();
    kernel::spawn(watch_loop(Rc::clone(&context))).detach();
    kernel::spawn(watch_lag(Rc::clone(&context))).detach();
    kernel::spawn(Rc::clone(&router).run_ticks()).detach();
    kernel::spawn(Rc::clone(&router).follow_runner_changes(changed_runners)).detach();
    let reloads = signals.reload.listen()?;
    kernel::spawn(follow_reloads(Rc::clone(&context), reloads, read_settings)).detach();
    let mut stops = signals.stop.listen()?;
    stops.next().await?;
    kernel::spawn(log_repeated_stops(stops)).detach();
    let deadline = drain_requests(&context).await;
    stop.raise();
    let deadline = deadline.max(context.now()) + WRITE_RESERVE;
    let connections = drain_connections(&context, &servers, deadline).await;
    cut_streams(&context);
    log_stop_end(&context, connections);
    Ok(())
}

/// Starts all servers; returns those that carry calls, of callers and of other nodes.
async fn start_servers(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    stop: &StopSignal,
) -> Result<[WebServer; 2]> {
    let settings = &context.settings;
    let connections =
        settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(RESERVED_DESCRIPTORS);
    let limits = ServerLimits {
        max_connections: connections / 2,
        header_timeout: IDLE_TIMEOUT,
        max_header_bytes: MAX_HEADER_BYTES,
    };
    let refusing = Rc::clone(context);
    let callers = WebServer::bind(settings.callers, limits)
        .await?
        .refuse_with(Rc::new(move || refuse_connection(&refusing)));
    let (caller_context, caller_router) = (Rc::clone(context), Rc::clone(router));
    let handler = move |request| {
        answer_caller(Rc::clone(&caller_context), Rc::clone(&caller_router), request)
    };
    let (server, caller_stop) = (callers.clone(), stop.clone());
    kernel::spawn(async move { server.serve(caller_stop, handler).await }).detach();
    let metrics = std::net::SocketAddr::new(settings.ip, settings.metrics_port);
    start_server(context, settings.lookups, stop, answer_lookup).await?;
    start_server(context, settings.readiness, stop, answer_readiness).await?;
    let peers = start_peer_server(context, router, stop).await?;
    start_server(context, metrics, stop, answer_metrics).await?;
    Ok([callers, peers])
}

/// Starts the HTTP server for other nodes.
async fn start_peer_server(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    stop: &StopSignal,
) -> Result<WebServer> {
    let address = context.settings.peer_address();
    let server = WebServer::bind(address, ServerLimits::default()).await?;
    let (context, router) = (Rc::clone(context), Rc::clone(router));
    let handler = move |request| answer_peer(Rc::clone(&context), Rc::clone(&router), request);
    let (peers, stop) = (server.clone(), stop.clone());
    kernel::spawn(async move { server.serve(stop, handler).await }).detach();
    Ok(peers)
}

/// Starts an HTTP server whose handler answers synchronously.
async fn start_server(
    context: &Rc<NodeContext>,
    address: std::net::SocketAddr,
    stop: &StopSignal,
    answer: fn(&Rc<NodeContext>, &WebRequest) -> WebResponse,
) -> Result<()> {
    let server = WebServer::bind(address, ServerLimits::default()).await?;
    let context = Rc::clone(context);
    let stop = stop.clone();
    kernel::spawn(async move {
        let handler = move |request: WebRequest| {
            let response = answer(&context, &request);
            async move { response }
        };
        server.serve(stop, handler).await;
    })
    .detach();
    Ok(())
}

fn answer_metrics(context: &Rc<NodeContext>, request: &WebRequest) -> WebResponse {
    if request.uri().path() != METRICS_PATH {
        return text_reply(StatusCode::NOT_FOUND, "no such page");
    }
    context.metrics.active.set(i64::try_from(context.active_requests.get()).unwrap_or(i64::MAX));
    record_reads(&context.metrics);
    text_reply(StatusCode::OK, context.metrics.encode())
}

/// Records what is kept of what was read, and what was given up.
fn record_reads(metrics: &NodeMetrics) {
    let reads = web::read_use();
    metrics.read_bytes.set(i64::try_from(reads.held).unwrap_or(i64::MAX));
    metrics.reads_given_up.inc_by(reads.given_up.saturating_sub(metrics.reads_given_up.get()));
}

/// Drops out of look-ups, keeps serving callers that still hold this address, and waits for
/// requests in progress until the stop time is used up. Returns when it will be. How long callers hold
/// the address is known in advance: requests that arrive later are refused, and prolong nothing.
async fn drain_requests(context: &NodeContext) -> TimePoint {
    let begun = context.now();
    let deadline = begun + context.settings.stop_timeout() - EXIT_RESERVE;
    context.stop_window.set(Some(StopWindow::new(begun + ADDRESS_HOLD_TIME, deadline)));
    context.stop.raise();
    tracing::info!(event = "stop", step = "begun", active = context.active_requests.get());
    loop {
        let now = context.now();
        let may_exit = now.since(begun) >= MIN_STOP_TIME;
        if now >= deadline || may_exit && context.active_requests.get() == 0 {
            return deadline;
        }
        kernel::sleep(STOP_POLL.into()).await;
    }
}

/// Waits until `servers` have ended with all their connections, but no longer than until `deadline`: a
/// request has ended before a slow caller has read its answer. Returns how many connections are still
/// open.
async fn drain_connections(
    context: &NodeContext,
    servers: &[WebServer],
    deadline: TimePoint,
) -> usize {
    while !servers.iter().all(WebServer::has_ended) && context.now() < deadline {
        kernel::sleep(DRAIN_POLL.into()).await;
    }
    servers.iter().map(WebServer::open_connections).sum()
}

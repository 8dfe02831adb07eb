//! The node process: its services, from the start to the planned stop.

use std::rc::Rc;

use base::prelude::*;
use futures_channel::mpsc;
use hyper::StatusCode;
use kernel::StopSignal;
use platform::StoreClient;
use settings::{NodeSettings, SettingsFaults};
use web::{ServerLimits, WebRequest, WebResponse, WebServer, text_reply};

use crate::caller_server::answer_caller;
use crate::context::{NodeContext, retry_budget_settings};
use crate::error::{NodeError, Result};
use crate::follow_configuration::follow_configuration;
use crate::follow_nodes::follow_nodes;
use crate::follow_runners::RunnerFeed;
use crate::lookups::{answer_lookup, answer_readiness};
use crate::peer_link::PeerLink;
use crate::peer_server::answer_peer;
use crate::router::RouterService;
use crate::runner_poll::poll_runners;

/// Time for one exchange with the store beyond the wait asked for. It answers in some
/// milliseconds; a slow one takes up to a hundred times as long.
const STORE_TIMEOUT: TimeSpan = TimeSpan::millis(900);
/// Time that an idle connection of a caller is kept; longer than callers use one again.
const IDLE_TIMEOUT: TimeSpan = TimeSpan::seconds(15);
/// Longest head of a request, in bytes.
const MAX_HEADER_BYTES: usize = 32 << 10;
/// Descriptors that are kept for files and servers.
const RESERVED_DESCRIPTORS: usize = 300;
/// Least time between the signal to stop and the end: callers keep addresses for as long.
const MIN_STOP_TIME: TimeSpan = TimeSpan::millis(2_500);
/// Part of the time to stop that is left for the end of the process itself.
const EXIT_RESERVE: TimeSpan = TimeSpan::millis(400);
/// Pause between two looks at whether the last request has ended.
const STOP_POLL: TimeSpan = TimeSpan::millis(50);
/// Number of SIGHUP.
const SIGHUP: i32 = 1;
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Runs a node until it has stopped as planned; `read_settings` reads them again.
///
/// # Errors
/// What keeps it from starting.
pub async fn run_node(
    settings: NodeSettings,
    read_settings: impl Fn() -> std::result::Result<NodeSettings, SettingsFaults> + 'static,
) -> Result<()> {
    let context = NodeContext::new(settings);
    tracing::info!(
        event = "start",
        vm = %context.settings.vm,
        place = %context.settings.place,
        incarnation = %context.incarnation,
        version = env!("CARGO_PKG_VERSION"),
    );
    let (heartbeat_requests, beats) = mpsc::channel(1);
    let router = RouterService::new(&context, heartbeat_requests);
    let store = StoreClient::new(context.settings.store, STORE_TIMEOUT);
    let stop = StopSignal::new();
    start_servers(&context, &router, &stop).await?;
    let link = PeerLink::open(&context, &router).await.map_err(NodeError::PeerSocket)?;
    kernel::spawn(Rc::clone(&link).run_sending(beats)).detach();
    kernel::spawn(Rc::clone(&link).run_receiving()).detach();
    kernel::spawn(follow_configuration(Rc::clone(&context), Rc::clone(&router), store)).detach();
    kernel::spawn(RunnerFeed::new(&context, &router, &link, store).run()).detach();
    kernel::spawn(follow_nodes(Rc::clone(&context), store)).detach();
    kernel::spawn(poll_runners(Rc::clone(&context), Rc::clone(&router))).detach();
    kernel::spawn(Rc::clone(&router).run_ticks()).detach();
    kernel::spawn(reload_on_sighup(Rc::clone(&context), read_settings)).detach();
    kernel::wait_for_signals().await?;
    drain_requests(&context).await;
    stop.raise();
    tracing::info!(event = "stop", step = "ended", active = context.active_requests.get());
    Ok(())
}

async fn start_servers(
    context: &Rc<NodeContext>,
    router: &Rc<RouterService>,
    stop: &StopSignal,
) -> Result<()> {
    let settings = &context.settings;
    let connections =
        settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(RESERVED_DESCRIPTORS);
    let limits = ServerLimits {
        connections: connections / 2,
        header_time: IDLE_TIMEOUT,
        header_bytes: MAX_HEADER_BYTES,
    };
    let callers = WebServer::bind(settings.callers, limits).await?;
    let (shared, desk) = (Rc::clone(context), Rc::clone(router));
    let answer = move |request| answer_caller(Rc::clone(&shared), Rc::clone(&desk), request);
    let signal = stop.clone();
    kernel::spawn(async move { callers.serve(signal, answer).await }).detach();
    let metrics = std::net::SocketAddr::new(settings.ip, settings.metrics_port);
    start_server(context, settings.lookups, stop, answer_lookup).await?;
    start_server(context, settings.readiness, stop, answer_readiness).await?;
    start_server(context, settings.peer(), stop, answer_peer).await?;
    start_server(context, metrics, stop, answer_metrics).await
}

/// Serves pages that are answered at once.
async fn start_server(
    context: &Rc<NodeContext>,
    address: std::net::SocketAddr,
    stop: &StopSignal,
    answer: fn(&NodeContext, &WebRequest) -> WebResponse,
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

fn answer_metrics(context: &NodeContext, request: &WebRequest) -> WebResponse {
    if request.uri().path() != METRICS_PATH {
        return text_reply(StatusCode::NOT_FOUND, "no such page");
    }
    context.metrics.active.set(i64::try_from(context.active_requests.get()).unwrap_or(i64::MAX));
    text_reply(StatusCode::OK, context.metrics.encode())
}

/// Leaves the look-ups, serves on for callers that still hold this address, and waits for
/// the requests in progress as long as there is time.
async fn drain_requests(context: &NodeContext) {
    let begun = context.now();
    context.stop.raise();
    tracing::info!(event = "stop", step = "begun", active = context.active_requests.get());
    let end = begun + context.settings.stop_time() - EXIT_RESERVE;
    loop {
        let now = context.now();
        let lingered = now.since(begun) >= MIN_STOP_TIME;
        if now >= end || lingered && context.active_requests.get() == 0 {
            return;
        }
        kernel::sleep(STOP_POLL.into()).await;
    }
}

/// Reads the settings again at each SIGHUP.
async fn reload_on_sighup(
    context: Rc<NodeContext>,
    read_settings: impl Fn() -> std::result::Result<NodeSettings, SettingsFaults>,
) {
    loop {
        if let Err(error) = compio::signal::unix::signal(SIGHUP).await {
            tracing::error!(event = "reload_impossible", %error);
            return;
        }
        match read_settings() {
            Ok(settings) => {
                context.retry_budget.borrow_mut().set_settings(retry_budget_settings(&settings));
                tracing::info!(event = "reload", applied = "retry budget");
            }
            Err(error) => tracing::error!(event = "reload_failed", %error),
        }
    }
}

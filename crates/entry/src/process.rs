//! The entry process: its services, from the start to the planned stop.

use std::io::Write as _;
use std::rc::Rc;

use base::prelude::*;
use peers::{PeerEndpoint, PeerKeys};
use route::{PolicyName, RouteSettings};
use settings::EntrySettings;
use web::{ServerLimits, WebServer};

use crate::api::CallerApi;
use crate::bookings::{BOOKINGS, BookingService};
use crate::completions::CompletionService;
use crate::context::EntryContext;
use crate::counters::METRIC_PREFIX;
use crate::error::{EntryError, Result};
use crate::peer_server::answer_peer;
use crate::router::{ROUTER, RouterService};
use crate::view_client::follow_steward;
use kernel::{MetricCounters, SignalPipe};

/// Time for the bookings in flight to end at a planned stop.
const DRAIN_TIME: TimeSpan = TimeSpan::seconds(125);
/// Further time for the hand-over of the bookings.
const HAND_OVER_TIME: TimeSpan = TimeSpan::seconds(20);
/// Time in which callers' requests end at a planned stop.
const STOP_TIME: TimeSpan = TimeSpan::seconds(3_600);

/// Runs an entry until it has stopped as planned.
///
/// # Errors
/// What keeps it from starting.
pub async fn run_entry(settings: EntrySettings, stop_signals: SignalPipe) -> Result<()> {
    let context = open_context(settings).await?;
    let router = RouterService::new(&context, route_settings(&context.settings)?);
    let bookings = BookingService::new(&context, &router);
    let completions = CompletionService::new(&context, &router);
    register(&context, &router, &bookings)?;

    let limits = ServerLimits {
        max_connections: context.settings.max_connections,
        ..ServerLimits::default()
    };
    let server = WebServer::bind(context.settings.address, limits).await?;
    kernel::spawn(follow_steward(Rc::clone(&context), Rc::clone(&router))).detach();
    kernel::spawn(Rc::clone(&router).run_ticks()).detach();
    kernel::spawn(Rc::clone(&bookings).run_ticks()).detach();
    let peers_stop = kernel::StopSignal::new();
    let peers_task =
        kernel::spawn(serve_peers(Rc::clone(&context), Rc::clone(&bookings), peers_stop.clone()));
    announce(&server);

    let api = CallerApi::new(Rc::clone(&context), router, Rc::clone(&bookings), completions);
    let server_stop = kernel::StopSignal::new();
    let callers = {
        let (server, stop) = (server.clone(), server_stop.clone());
        kernel::spawn(async move { server.serve(stop, move |r| api.clone().serve(r)).await })
    };
    stop_signals.listen()?.next().await?;
    leave(&context).await;
    server_stop.raise();
    // Answers in progress end before the process does.
    let _ = compio::time::timeout(STOP_TIME.into(), callers).await;
    let now = context.now();
    let handed_over = bookings.stop(now + DRAIN_TIME, now + DRAIN_TIME + HAND_OVER_TIME).await;
    tracing::info!(handed_over, step = "stop", "bookings");
    peers_stop.raise();
    let _ = compio::time::timeout(HAND_OVER_TIME.into(), peers_task).await;
    context.peers.close().await;
    Ok(())
}

/// Leaves the lookups, and serves on for callers that still hold this address.
async fn leave(context: &EntryContext) {
    tracing::info!(step = "stop", calls = context.calls(), "stopping as planned");
    context.stop.raise();
    kernel::sleep(context.settings.linger.into()).await;
}

async fn open_context(settings: EntrySettings) -> Result<Rc<EntryContext>> {
    let read = |field, source: &settings::PemSource| {
        source.read().map_err(|error| EntryError::Setting { field, reason: error.to_string() })
    };
    let keys = &settings.common.keys;
    let peer_keys = PeerKeys {
        certificate: read("keys.certificate", &keys.certificate)?,
        private_key: read("keys.private_key", &keys.private_key)?,
        authorities: read("keys.authority", &keys.authority)?,
    };
    let signing = keys.signing_keys();
    let peers = PeerEndpoint::bind(settings.peer, &peer_keys).await?;
    let counters = MetricCounters::new(METRIC_PREFIX, settings.common.metrics)?;
    let incarnation = VmIncarnation(rand::random());
    Ok(EntryContext::new(settings, incarnation, signing, peers, counters))
}

fn route_settings(settings: &EntrySettings) -> Result<RouteSettings> {
    let named = PolicyName::ALL.into_iter().find(|name| name.to_string() == *settings.policy);
    let policy = named.ok_or_else(|| EntryError::Setting {
        field: "policy",
        reason: format!("{} is not the name of a routing rule", settings.policy),
    })?;
    Ok(RouteSettings {
        policy,
        seed: rand::random(),
        place: settings.common.place.clone(),
        queue_limit: settings.queue_limit,
    })
}

fn register(
    context: &Rc<EntryContext>,
    router: &Rc<RouterService>,
    bookings: &Rc<BookingService>,
) -> Result<()> {
    let registry = &context.registry;
    registry.register(ROUTER, router)?;
    registry.register(BOOKINGS, bookings)?;
    let service = Rc::clone(router);
    registry.register_dump(ROUTER, move || service.dump());
    let service = Rc::clone(bookings);
    registry.register_dump(BOOKINGS, move || service.dump());
    let shared = Rc::clone(context);
    registry.register_dump("fleet", move || shared.fleet.borrow().dump(shared.now()));
    let shared = Rc::clone(context);
    registry.register_dump("counters", move || serde_json::json!(shared.counters.snapshot()));
    let shared = Rc::clone(context);
    registry.register_dump("peers", move || {
        serde_json::json!({
            "address": shared.peers.address(),
            "links": shared.peers.links(),
            "connections": shared.peers.connections(),
            "requests": shared.peers.requests(),
            "rejected": shared.peers.rejected(),
        })
    });
    Ok(())
}

async fn serve_peers(
    context: Rc<EntryContext>,
    bookings: Rc<BookingService>,
    stop: kernel::StopSignal,
) {
    let endpoint = context.peers.clone();
    endpoint
        .serve(stop, move |request| answer_peer(Rc::clone(&context), Rc::clone(&bookings), request))
        .await;
}

fn announce(server: &WebServer) {
    let mut out = std::io::stdout();
    // Nobody may be listening; the process serves all the same.
    let _ = writeln!(out, "listening {}", server.address());
    let _ = out.flush();
}

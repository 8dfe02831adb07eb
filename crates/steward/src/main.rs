//! `yard-steward`: one on each machine; it follows the platform and its peers, and gives the
//! machine's entries the view of the fleet and the configuration in force.

mod arguments;
mod change_notifier;
mod config_service;
mod context;
mod digest_exchange;
mod dump;
mod error;
mod fleet_clock;
mod order_inputs;
mod order_service;
mod peer_handler;
mod planned_stop;
mod runner_poll;
mod vm_poll;

use std::process::ExitCode;
use std::rc::Rc;

use peers::{PeerEndpoint, PeerKeys};
use settings::{KeySettings, StewardSettings};

use crate::arguments::StewardArguments;
use crate::config_service::{CONFIG_SERVICE, ConfigService};
use crate::context::StewardContext;
use crate::error::{Result, StewardError};
use crate::order_service::{ORDER_SERVICE, OrderService};
use kernel::{MetricCounters, STOP_SIGNALS, SignalPipe};

/// Prefix of the names of all metrics.
const METRIC_PREFIX: &str = "yard.steward";

fn main() -> ExitCode {
    let arguments: StewardArguments = argh::from_env();
    let outcome = kernel::run(run(arguments)).map_err(StewardError::from);
    match outcome.and_then(|outcome| outcome) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yard-steward: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: StewardArguments) -> Result<()> {
    let stop_signals = SignalPipe::register(&STOP_SIGNALS)?;
    let path = arguments.settings;
    let settings: StewardSettings = settings::read_settings(&path, &arguments.sets)
        .map_err(|source| StewardError::Settings { path, source })?;
    settings.common.init_logging();
    let keys = read_keys(&settings.common.keys)?;
    let peers = PeerEndpoint::bind(settings.peer, &keys).await?;
    let counters = MetricCounters::new(METRIC_PREFIX, settings.common.metrics)?;
    println!("listening {}", peers.address());
    let context = StewardContext::new(settings, peers, counters);
    start_services(&context)?;
    let serving = start_serving(&context);
    stop_signals.listen()?.next().await?;
    planned_stop::run(Rc::clone(&context)).await;
    context.stop.raise();
    // The task ends by itself once the stop is raised; it has no result.
    let _ = serving.await;
    context.peers.close().await;
    Ok(())
}

fn start_services(context: &Rc<StewardContext>) -> Result<()> {
    let config = ConfigService::new(context);
    context.registry.register(CONFIG_SERVICE, &config)?;
    let orders = OrderService::new(context);
    context.registry.register(ORDER_SERVICE, &orders)?;
    dump::register(context, &config, &orders);
    kernel::spawn(Rc::clone(&config).run(Rc::clone(context))).detach();
    kernel::spawn(Rc::clone(&orders).follow(Rc::clone(context))).detach();
    kernel::spawn(Rc::clone(&orders).reconcile(Rc::clone(context), config)).detach();
    kernel::spawn(vm_poll::run(Rc::clone(context), orders)).detach();
    kernel::spawn(runner_poll::run(Rc::clone(context))).detach();
    kernel::spawn(digest_exchange::run(Rc::clone(context))).detach();
    kernel::spawn(fleet_clock::run(Rc::clone(context))).detach();
    Ok(())
}

fn start_serving(context: &Rc<StewardContext>) -> compio::runtime::JoinHandle<()> {
    let context = Rc::clone(context);
    kernel::spawn(async move {
        let shared = Rc::clone(&context);
        let handler = move |request| peer_handler::answer(Rc::clone(&shared), request);
        context.peers.serve(context.stop.clone(), handler).await;
    })
}

fn read_keys(settings: &KeySettings) -> Result<PeerKeys> {
    let keys_error = |field| move |source| StewardError::Keys { field, source };
    Ok(PeerKeys {
        certificate: settings.certificate.read().map_err(keys_error("certificate"))?,
        private_key: settings.private_key.read().map_err(keys_error("private_key"))?,
        authorities: settings.authority.read().map_err(keys_error("authority"))?,
    })
}

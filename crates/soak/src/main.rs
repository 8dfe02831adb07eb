//! `yard-soak`: plays seeds of faults against real nodes on this machine.
//!
//! Exits with 0 if every promise was kept, and with 1 otherwise.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::{SoakPlan, run_soak};

/// Starts a store, runners and three nodes on loopback, and plays faults drawn from each
/// seed while callers call.
#[derive(FromArgs)]
#[argh(example = "{command_name} --seed 7 --seeds 10")]
struct SoakArguments {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds, played one after the other
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds for which callers call, each seed
    #[argh(option, default = "17")]
    seconds: u64,
    /// print the faults as they were drawn
    #[argh(switch)]
    plan: bool,
}

fn main() -> ExitCode {
    let arguments: SoakArguments = argh::from_env();
    let mut kept = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        kept &= play(&arguments, seed);
    }
    if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays one seed; whether every promise was kept.
fn play(arguments: &SoakArguments, seed: u64) -> bool {
    let plan = SoakPlan::draw(seed, Duration::from_secs(arguments.seconds));
    if arguments.plan {
        plan.steps.iter().for_each(|step| println!("{step}"));
    }
    match kernel::run(run_soak(&plan)) {
        Ok(Ok(report)) => {
            println!("seed {seed}: {report}");
            report.breaches.is_empty()
        }
        Ok(Err(error)) => {
            println!("seed {seed}: not played: {error}");
            false
        }
        Err(error) => {
            println!("seed {seed}: not played: {error}");
            false
        }
    }
}

//! `yard-demo`: the whole system on one machine, under both users' load.
//!
//! Exits with 0 if every promise was kept, and with 1 otherwise.

use std::process::ExitCode;

use argh::FromArgs;
use harness::{HarnessError, Result, StackPlan, TestStack, run_tool};

/// The failure domains of the demo.
const PLACES: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];
/// The load mixes, with the engines' and booking service of each.
const MIXES: [(&str, &str, &str); 2] =
    [("cobbler", "summaries", "bookings"), ("harmattan", "briefings", "roster")];

/// Starts stand-ins, three stewards and three entries on loopback, publishes both users'
/// sample files, and runs a mixed load.
#[derive(FromArgs)]
#[argh(example = "{command_name} --seconds 20 --seed 7")]
struct DemoArguments {
    /// seconds for which calls arrive
    #[argh(option, default = "20")]
    seconds: u32,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments: DemoArguments = argh::from_env();
    match kernel::run(run(&arguments)) {
        Ok(Ok(true)) => {
            println!("\nEvery promise was kept.");
            ExitCode::SUCCESS
        }
        Ok(Ok(false)) => {
            println!("\nA promise was broken; see the report.");
            ExitCode::FAILURE
        }
        Ok(Err(error)) => {
            eprintln!("yard-demo: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("yard-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &DemoArguments) -> Result<bool> {
    println!("Starting 3 machines, 8 engines and 4 plain services on loopback …");
    let stack = TestStack::start(demo_plan()).await?;
    println!("Published both users' files; running {} s of load …", arguments.seconds);
    for (vm, entry) in &stack.entries {
        println!("  entry of {vm}: http://{}", entry.address());
    }
    println!("  log {}, VM list {}", stack.log.address(), stack.vm_list.address());
    let loads: Vec<_> = MIXES
        .iter()
        .map(|(mix, engines, bookings)| {
            let arguments = load_arguments(&stack, arguments, mix, engines, bookings);
            let mix = (*mix).to_owned();
            std::thread::spawn(move || (mix, run_tool("yard-load", &arguments)))
        })
        .collect();
    let mut kept = true;
    for load in loads {
        let Ok((mix, outcome)) = load.join() else { return Ok(false) };
        let (code, report) = outcome?;
        println!("\n== {mix}\n{report}");
        kept &= code == 0;
    }
    show_status(&stack)?;
    Ok(kept)
}

fn demo_plan() -> StackPlan {
    let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples");
    StackPlan::default()
        .with_vms(3, &PLACES)
        .with_runners("summaries", 4, &PLACES, &["repair-summary", "repair-tag"], &[])
        .with_runners("briefings", 4, &PLACES, &["briefing", "tagging"], &[])
        .with_runners("bookings", 2, &PLACES, &[], &[])
        .with_runners("roster", 2, &PLACES, &[], &[])
        .with_files(format!("{samples}/cobbler"))
        .with_files(format!("{samples}/harmattan"))
}

fn load_arguments(
    stack: &TestStack,
    arguments: &DemoArguments,
    mix: &str,
    engines: &str,
    bookings: &str,
) -> Vec<String> {
    let entries: Vec<String> =
        stack.entries.values().map(|entry| entry.address().to_string()).collect();
    let text = |parts: [&str; 2]| parts.map(str::to_owned);
    let mut list = vec!["traffic".to_owned()];
    list.extend(text(["--mix", mix]));
    let keys = format!("{}/../../samples/{mix}.keys", env!("CARGO_MANIFEST_DIR"));
    list.extend(text(["--keys", &keys]));
    list.extend(text(["--entries", &entries.join(",")]));
    list.extend(text(["--engines", &addresses(stack, engines)]));
    list.extend(text(["--services", &addresses(stack, bookings)]));
    list.extend(text(["--seconds", &arguments.seconds.to_string()]));
    list.extend(text(["--seed", &arguments.seed.to_string()]));
    list
}

fn addresses(stack: &TestStack, service: &str) -> String {
    let plans = stack.plan.runners.iter().filter(|plan| plan.service == service);
    let addresses: Vec<String> = plans.map(|plan| stack.runner(&plan.runner).to_string()).collect();
    addresses.join(",")
}

fn show_status(stack: &TestStack) -> Result<()> {
    let arguments = ["status", "--log", "", "--vms", ""].map(str::to_owned);
    let mut arguments = arguments.to_vec();
    arguments[2] = stack.log.address().to_string();
    arguments[4] = stack.vm_list.address().to_string();
    let (code, output) = run_tool("yard", &arguments)?;
    println!("\n== yard status\n{output}");
    if code == 0 {
        return Ok(());
    }
    Err(HarnessError::Tool { program: "yard".into(), status: code.to_string(), output })
}

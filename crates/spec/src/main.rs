//! `yard-spec`: checks all models and prints what each search found.

use std::process::ExitCode;
use std::time::Instant;

fn main() -> ExitCode {
    let begun = Instant::now();
    let runs = spec::check_all();
    for run in &runs {
        println!("{run}");
    }
    let states = runs.iter().map(|run| run.states).sum::<usize>();
    println!("{states} states in {:.1} s", begun.elapsed().as_secs_f64());
    for run in runs.iter().filter(|run| !run.trace.is_empty()) {
        println!("\n{} / {}: {}", run.model, run.variant, run.violation.unwrap_or("none"));
        for (number, step) in run.trace.iter().enumerate() {
            println!("{:4} {step}", number + 1);
        }
    }
    if runs.iter().all(spec::ModelRun::is_expected) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

//! The command `yard-load policy`.

use std::str::FromStr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use argh::FromArgs;
use plotters::prelude::*;

use crate::policy::{
    BenchPolicy, BenchSettings, FaultName, FigureTable, PolicyError, PolicyFigures, Result,
    Workload, WorkloadName, simulate,
};

const PLOT_SIZE_PIXELS: (u32, u32) = (900, 500);

/// Compare routing policies in virtual time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "policy")]
pub struct PolicyCommand {
    /// cobbler or harmattan
    #[argh(option)]
    workload: WorkloadName,
    /// name of a policy, several separated by commas, or all
    #[argh(option, default = "String::from(\"all\")")]
    policy: String,
    /// seed of a single run
    #[argh(option, default = "1")]
    seed: u64,
    /// range of seeds, FIRST..LAST, both included
    #[argh(option)]
    seeds: Option<String>,
    /// arrivals relative to the capacity
    #[argh(option, default = "0.9")]
    load: f64,
    /// name of a fault
    #[argh(option, default = "FaultName::None")]
    fault: FaultName,
    /// do not tell the entries what a runner's answer says of it: that it leaves, or that it waits
    #[argh(switch)]
    notices_untold: bool,
    /// table or json
    #[argh(option, default = "String::from(\"table\")")]
    format: String,
    /// file for a plot of the tail of the gaps against the load
    #[argh(option)]
    plot: Option<String>,
    /// threads to use
    #[argh(option, default = "2")]
    threads: usize,
    /// start and end of what is measured, FIRST..LAST in seconds
    #[argh(option)]
    window: Option<String>,
}

fn range(what: &'static str, text: &str) -> Result<(u64, u64)> {
    let unknown = || PolicyError::UnknownName { what, text: text.into() };
    let (first, last) = text.split_once("..").ok_or_else(unknown)?;
    let number = |text: &str| text.parse().map_err(|_| unknown());
    Ok((number(first)?, number(last)?))
}

impl PolicyCommand {
    /// Runs the command and prints its figures.
    ///
    /// # Errors
    /// If a name is not known, or the plot can't be written.
    pub fn run(&self) -> Result<()> {
        let seeds = match &self.seeds {
            Some(text) => range("range of seeds", text)?,
            None => (self.seed, self.seed),
        };
        let policies = self.policies()?;
        let settings = self.settings(&policies, seeds)?;
        let figures = simulate_all(&settings, self.threads);
        let mut runs = Vec::new();
        for (policy, chunk) in policies.iter().zip(figures.chunks(figures.len() / policies.len())) {
            runs.push((*policy, chunk.to_vec()));
        }
        let table = FigureTable::new(&runs);
        match self.format.as_str() {
            "json" => println!("{}", serde_json::to_string_pretty(&table)?),
            _ => print!("{}", table.to_text()),
        }
        self.plot.as_ref().map_or(Ok(()), |file| plot(file, &table))
    }

    fn policies(&self) -> Result<Vec<BenchPolicy>> {
        if self.policy == "all" {
            return Ok(BenchPolicy::all());
        }
        self.policy.split(',').map(BenchPolicy::from_str).collect()
    }

    fn settings(&self, policies: &[BenchPolicy], seeds: (u64, u64)) -> Result<Vec<BenchSettings>> {
        let window = self.window.as_deref().map(|text| range("window", text)).transpose()?;
        let mut all = Vec::new();
        for &policy in policies {
            for seed in seeds.0..=seeds.1 {
                let workload = Workload::new(self.workload);
                let mut settings = BenchSettings::new(workload, policy, seed, self.load);
                settings.fault = self.fault;
                settings.notices_told = !self.notices_untold;
                if let Some((first, last)) = window {
                    settings.measure_seconds(first, last);
                }
                all.push(settings);
            }
        }
        Ok(all)
    }
}

/// Runs on several threads; the figures are in the order of the settings.
#[must_use]
pub fn simulate_all(settings: &[BenchSettings], threads: usize) -> Vec<PolicyFigures> {
    let next = AtomicUsize::new(0);
    let figures = Mutex::new(vec![None; settings.len()]);
    let work = || loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(settings) = settings.get(index) else {
            return;
        };
        let result = simulate(settings);
        if let Ok(mut figures) = figures.lock() {
            figures[index] = Some(result);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    figures.into_inner().unwrap_or_default().into_iter().flatten().collect()
}

fn plot(file: &str, table: &FigureTable) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| PolicyError::Plot {
        file: file.into(),
        reason: error.to_string(),
    };
    let rows: Vec<_> = table.rows.iter().filter(|row| row.measure.starts_with("gap")).collect();
    let medians = rows.iter().flat_map(|row| row.values.iter().map(|value| value.median));
    let highest = medians.fold(1.0, f64::max);
    let area = SVGBackend::new(file, PLOT_SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .caption("gap between tokens [ms]: p50, p95, p99, p99.9", ("sans-serif", 18))
        .build_cartesian_2d(0.0..rows.len() as f64, 0.0..highest)
        .map_err(|e| failed(&e))?;
    chart.configure_mesh().draw().map_err(|e| failed(&e))?;
    for (index, policy) in table.policies.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = rows.iter().enumerate().map(|(x, row)| (x as f64, row.values[index].median));
        chart
            .draw_series(LineSeries::new(points, color))
            .map_err(|e| failed(&e))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart.configure_series_labels().draw().map_err(|e| failed(&e))?;
    area.present().map_err(|e| failed(&e))
}

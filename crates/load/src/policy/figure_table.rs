//! Figures of several policies side by side.

use std::fmt::Write;

use serde::Serialize;

use crate::policy::{BenchPolicy, PolicyFigures};

/// One measure of one run.
#[derive(Debug, Clone, Serialize)]
pub struct FigureRow {
    /// Name of the measure, with its unit.
    pub measure: String,
    /// A higher value is a better one.
    pub more_is_better: bool,
    /// Its value for each policy: median and worst over the seeds.
    pub values: Vec<FigureValue>,
    /// The product's median relative to that of the best baseline.
    pub ratio: Option<f64>,
}

/// A value over several seeds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct FigureValue {
    /// Median over the seeds.
    pub median: f64,
    /// Worst seed.
    pub worst: f64,
}

/// The table.
#[derive(Debug, Clone, Serialize)]
pub struct FigureTable {
    /// Policies, in the order of the values.
    pub policies: Vec<String>,
    /// Measures.
    pub rows: Vec<FigureRow>,
}

/// A measure with how to read it.
struct Measure {
    name: String,
    more_is_better: bool,
    read: Box<dyn Fn(&PolicyFigures) -> f64>,
}

fn measure(name: &str, read: impl Fn(&PolicyFigures) -> f64 + 'static) -> Measure {
    Measure { name: name.into(), more_is_better: false, read: Box::new(read) }
}

fn measures(example: &PolicyFigures) -> Vec<Measure> {
    let mut measures = vec![
        measure("stall [s]", |f| f.stall_seconds),
        measure("preemptions /1000", |f| f.preemptions),
        measure("withdrawals /1000", |f| f.withdrawals),
        measure("recomputed tokens /call", |f| f.recomputed),
        measure("gap p50 [ms]", |f| f.gap_p50),
        measure("gap p95 [ms]", |f| f.gap_p95),
        measure("gap p99 [ms]", |f| f.gap_p99),
        measure("gap p99.9 [ms]", |f| f.gap_p999),
        measure("first p50 [ms]", |f| f.first_token_p50),
        measure("first p95 [ms]", |f| f.first_token_p95),
        measure("first p99 [ms]", |f| f.first_token_p99),
        measure("refusals /1000", |f| f.refusals),
        Measure { more_is_better: true, ..measure("goodput [tokens/s]", |f| f.goodput) },
        Measure { more_is_better: true, ..measure("worth [%]", |f| 100.0 * f.worth) },
        Measure { more_is_better: true, ..measure("fairness", |f| f.fairness) },
    ];
    if example.turn_aways.requests > 0.0 {
        measures.extend(turn_away_measures());
    }
    for (index, class) in example.classes.iter().enumerate() {
        let name = &class.class;
        let of = |what: &str| format!("{name} {what}");
        measures.extend([
            measure(&of("missed [%]"), move |f| 100.0 * f.classes[index].miss_share),
            measure(&of("first p50 [ms]"), move |f| f.classes[index].first_token_p50),
            measure(&of("first p95 [ms]"), move |f| f.classes[index].first_token_p95),
            measure(&of("first p99 [ms]"), move |f| f.classes[index].first_token_p99),
        ]);
    }
    measures
}

fn turn_away_measures() -> [Measure; 5] {
    [
        measure("turned away /1000", |f| f.turn_aways.requests),
        measure("refused again /1000", |f| f.turn_aways.again),
        measure("sent in a wait /1000", |f| f.turn_aways.late),
        measure("returned first p50 [ms]", |f| f.turn_aways.first_token_p50),
        measure("returned first p95 [ms]", |f| f.turn_aways.first_token_p95),
    ]
}

impl FigureTable {
    /// Puts the runs of each policy, one for each seed, together.
    ///
    /// # Panics
    /// If a policy has no run.
    #[must_use]
    pub fn new(runs: &[(BenchPolicy, Vec<PolicyFigures>)]) -> Self {
        let rows = measures(&runs[0].1[0]).into_iter().map(|measure| row(&measure, runs));
        Self {
            rows: rows.collect(),
            policies: runs.iter().map(|(policy, _)| policy.to_string()).collect(),
        }
    }

    /// The table as text; each cell is the median and, for several seeds, the worst one.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = format!("{:<26}", "");
        for policy in &self.policies {
            let _ = write!(text, "{policy:>22}");
        }
        text.push_str("   ratio\n");
        for row in &self.rows {
            let _ = write!(text, "{:<26}", row.measure);
            for value in &row.values {
                let cell = format!("{:.2} ({:.2})", value.median, value.worst);
                let _ = write!(text, "{cell:>22}");
            }
            let ratio = row.ratio.map_or_else(String::new, |ratio| format!("{ratio:.3}"));
            let _ = writeln!(text, "{ratio:>8}");
        }
        text
    }
}

fn row(measure: &Measure, runs: &[(BenchPolicy, Vec<PolicyFigures>)]) -> FigureRow {
    let more = measure.more_is_better;
    let value = |figures: &[PolicyFigures]| {
        let mut values: Vec<f64> = figures.iter().map(&measure.read).collect();
        values.sort_by(f64::total_cmp);
        let worst = if more { values.first() } else { values.last() };
        FigureValue {
            median: values[values.len() / 2].midpoint(values[(values.len() - 1) / 2]),
            worst: *worst.expect("at least one seed"),
        }
    };
    let values: Vec<FigureValue> = runs.iter().map(|(_, figures)| value(figures)).collect();
    let medians = || runs.iter().zip(&values).map(|((policy, _), value)| (*policy, value.median));
    let baselines = medians().filter(|(policy, _)| policy.is_baseline()).map(|(_, median)| median);
    let best = if more { baselines.reduce(f64::max) } else { baselines.reduce(f64::min) };
    let product =
        medians().find(|(policy, _)| *policy == BenchPolicy::Desk(route::PolicyName::Product));
    let ratio = best.zip(product).filter(|(best, _)| *best > 0.0).map(|(best, p)| p.1 / best);
    FigureRow { measure: measure.name.clone(), more_is_better: more, values, ratio }
}

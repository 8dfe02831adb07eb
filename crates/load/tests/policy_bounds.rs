//! Bounds on the policy, taken from the targets and from the simple rules on the same
//! arrivals. Runs are deterministic; each bound is on the median of the seeds.

use load::policy::{
    BenchPolicy, BenchSettings, FaultName, PolicyFigures, Workload, WorkloadName, simulate_all,
};
use route::PolicyName;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
const THREADS: usize = 3;
const PRODUCT: BenchPolicy = BenchPolicy::Desk(PolicyName::Product);
const FIRST_TOKEN_MILLIS: f64 = 750.0;
const GAP_MILLIS: f64 = 48.0;

struct PolicyRuns {
    runs: Vec<(BenchPolicy, Vec<PolicyFigures>)>,
}

impl PolicyRuns {
    fn new(
        name: WorkloadName,
        policies: &[BenchPolicy],
        load: f64,
        change: impl Fn(&mut BenchSettings),
    ) -> Self {
        let mut all = Vec::new();
        for &policy in policies {
            for seed in SEEDS {
                let mut settings = BenchSettings::new(Workload::new(name), policy, seed, load);
                change(&mut settings);
                all.push(settings);
            }
        }
        let figures = simulate_all(&all, THREADS);
        let chunks = figures.chunks(figures.len() / policies.len()).map(<[_]>::to_vec);
        Self { runs: policies.iter().copied().zip(chunks).collect() }
    }

    fn plain(name: WorkloadName, policies: &[BenchPolicy], load: f64) -> Self {
        Self::new(name, policies, load, |_| ())
    }

    fn product(&self, read: &dyn Fn(&PolicyFigures) -> f64) -> f64 {
        let (_, figures) = self.runs.iter().find(|(policy, _)| *policy == PRODUCT).unwrap();
        median(figures, read)
    }

    fn baselines(&self, read: &dyn Fn(&PolicyFigures) -> f64) -> Vec<f64> {
        let baselines = self.runs.iter().filter(|(policy, _)| policy.is_baseline());
        baselines.map(|(_, figures)| median(figures, read)).collect()
    }

    fn least(&self, read: &dyn Fn(&PolicyFigures) -> f64) -> f64 {
        self.baselines(read).into_iter().reduce(f64::min).unwrap()
    }

    fn most(&self, read: &dyn Fn(&PolicyFigures) -> f64) -> f64 {
        self.baselines(read).into_iter().reduce(f64::max).unwrap()
    }
}

fn median(figures: &[PolicyFigures], read: &dyn Fn(&PolicyFigures) -> f64) -> f64 {
    let mut values: Vec<f64> = figures.iter().map(read).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn deskside() -> Vec<BenchPolicy> {
    BenchPolicy::all().into_iter().filter(|policy| *policy != BenchPolicy::Oracle).collect()
}

/// No class's first token or misses, and no goodput, worse than the best rule by 2%.
fn assert_nothing_is_worse(runs: &PolicyRuns, classes: usize) {
    const SLACK: f64 = 1.02;
    for class in 0..classes {
        let first = move |f: &PolicyFigures| f.classes[class].first_token_p95;
        let (product, best) = (runs.product(&first), runs.least(&first));
        assert!(product <= SLACK * best, "first token p95, class {class}: {product} / {best}");
        let missed = move |f: &PolicyFigures| f.classes[class].miss_share;
        let (product, best) = (runs.product(&missed), runs.least(&missed));
        assert!(product <= SLACK * best + 0.001, "misses of class {class}: {product} / {best}");
    }
    let (product, best) = (runs.product(&|f| f.goodput), runs.most(&|f| f.goodput));
    assert!(product >= best / SLACK, "goodput {product} / {best}");
}

fn assert_targets_of_the_letter(runs: &PolicyRuns) {
    assert!(runs.product(&|f| f.first_token_p95) <= FIRST_TOKEN_MILLIS);
    assert!(runs.product(&|f| f.gap_p95) <= GAP_MILLIS);
}

#[test]
fn cobbler_preempts_a_quarter_as_often_as_the_best_simple_rule() {
    let runs = PolicyRuns::plain(WorkloadName::Cobbler, &deskside(), 0.9);
    let (product, best) = (runs.product(&|f| f.preemptions), runs.least(&|f| f.preemptions));
    assert!(product <= 0.25 * best, "preemptions {product} / {best}");
    assert_nothing_is_worse(&runs, 2);
    assert_targets_of_the_letter(&runs);
}

#[test]
fn harmattan_stalls_half_as_long_as_with_the_best_simple_rule() {
    let runs = PolicyRuns::plain(WorkloadName::Harmattan, &deskside(), 0.9);
    let (product, best) = (runs.product(&|f| f.stall_seconds), runs.least(&|f| f.stall_seconds));
    assert!(product <= 0.5 * best, "stall {product} / {best} s");
    assert_nothing_is_worse(&runs, 3);
    assert_targets_of_the_letter(&runs);
}

/// The target is half of the best simple rule's.
#[test]
fn harmattan_gap_p99_is_half_of_the_best_simple_rules() {
    let runs = PolicyRuns::plain(WorkloadName::Harmattan, &deskside(), 0.9);
    let (product, best) = (runs.product(&|f| f.gap_p99), runs.least(&|f| f.gap_p99));
    assert!(product <= 0.5 * best, "gap p99 {product} / {best} ms");
}

#[test]
fn overload_costs_no_goodput_and_no_urgent_first_token() {
    for name in [WorkloadName::Cobbler, WorkloadName::Harmattan] {
        let full = PolicyRuns::plain(name, &[PRODUCT], 1.0).product(&|f| f.goodput);
        let over = PolicyRuns::plain(name, &[PRODUCT], 1.4);
        let goodput = over.product(&|f| f.goodput);
        assert!(goodput >= 0.95 * full, "{name}: goodput {goodput} / {full}");
        let urgent = over.product(&|f| f.classes[0].first_token_p95);
        assert!(urgent <= FIRST_TOKEN_MILLIS, "{name}: urgent first token {urgent} ms");
    }
}

/// Ten seconds after a fault went, urgent first tokens and the tail between tokens meet
/// the targets again.
#[test]
fn the_measures_are_back_ten_seconds_after_a_fault() {
    let faults = [
        FaultName::EngineKilled,
        FaultName::EnginesReclaimed,
        FaultName::SlowEngine,
        FaultName::ReportsFrozen,
        FaultName::CacheLost,
        FaultName::EntryGone,
    ];
    for name in [WorkloadName::Cobbler, WorkloadName::Harmattan] {
        for fault in faults {
            let runs = PolicyRuns::new(name, &[PRODUCT], 0.9, |settings| {
                settings.fault = fault;
                settings.measure_seconds(100, 140);
            });
            let first = runs.product(&|f| f.first_token_p95);
            assert!(first <= FIRST_TOKEN_MILLIS, "{name}, {fault}: first token {first} ms");
            let gap = runs.product(&|f| f.gap_p95);
            assert!(gap <= GAP_MILLIS, "{name}, {fault}: gap {gap} ms");
        }
    }
}

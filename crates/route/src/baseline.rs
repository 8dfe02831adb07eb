//! Baseline policies that the production policy is compared with. They send every call at
//! once and never queue it.

use rand::RngExt;
use rand::rngs::StdRng;

use crate::{PolicyName, RunnerView};

/// Chooses one of the `candidates`, which are indexes into `runners`.
pub fn choose(
    policy: PolicyName,
    runners: &[RunnerView],
    candidates: &[usize],
    round_robin_turn: &mut usize,
    rng: &mut StdRng,
) -> Option<usize> {
    let reported = |slot: &usize| runners[*slot].reported_calls();
    let corrected = |slot: &usize| runners[*slot].corrected_calls();
    match policy {
        PolicyName::LeastLoad => least_loaded(candidates, reported, rng),
        PolicyName::LeastLoadCorrected => least_loaded(candidates, corrected, rng),
        PolicyName::TwoChoices => less_loaded_of_two(candidates, reported, rng),
        PolicyName::TwoChoicesCorrected => less_loaded_of_two(candidates, corrected, rng),
        PolicyName::RoundRobin | PolicyName::Product => {
            *round_robin_turn += 1;
            (!candidates.is_empty()).then(|| candidates[*round_robin_turn % candidates.len()])
        }
    }
}

/// Returns the least loaded candidate; ties are broken at random.
fn least_loaded(
    candidates: &[usize],
    load: impl Fn(&usize) -> u32,
    rng: &mut StdRng,
) -> Option<usize> {
    let key = |slot: &usize| (load(slot), rng.random::<u32>());
    candidates.iter().copied().min_by_key(key)
}

/// Returns the less loaded of two candidates that are drawn at random with replacement.
fn less_loaded_of_two(
    candidates: &[usize],
    load: impl Fn(&usize) -> u32,
    rng: &mut StdRng,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    Some(if load(&first) <= load(&second) { first } else { second })
}

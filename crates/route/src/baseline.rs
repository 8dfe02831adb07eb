//! The simple rules that the product's policy is compared with; none of them holds
//! calls back.

use rand::RngExt;
use rand::rngs::StdRng;

use crate::{PolicyName, RunnerView};

/// Chooses one of the `open` runners.
pub fn choose(
    policy: PolicyName,
    runners: &[RunnerView],
    open: &[usize],
    turn: &mut usize,
    random: &mut StdRng,
) -> Option<usize> {
    let reported = |slot: &usize| runners[*slot].reported_calls();
    let corrected = |slot: &usize| runners[*slot].corrected_calls();
    match policy {
        PolicyName::LeastLoad => least(open, reported, random),
        PolicyName::LeastLoadCorrected => least(open, corrected, random),
        PolicyName::TwoChoices => less_of_two(open, reported, random),
        PolicyName::TwoChoicesCorrected => less_of_two(open, corrected, random),
        PolicyName::RoundRobin | PolicyName::Product => {
            *turn += 1;
            (!open.is_empty()).then(|| open[*turn % open.len()])
        }
    }
}

/// The least loaded one; ties are broken at random.
fn least(open: &[usize], load: impl Fn(&usize) -> u32, random: &mut StdRng) -> Option<usize> {
    let key = |slot: &usize| (load(slot), random.random::<u32>());
    open.iter().copied().min_by_key(key)
}

fn less_of_two(open: &[usize], load: impl Fn(&usize) -> u32, random: &mut StdRng) -> Option<usize> {
    if open.is_empty() {
        return None;
    }
    let first = open[random.random_range(0..open.len())];
    let second = open[random.random_range(0..open.len())];
    Some(if load(&first) <= load(&second) { first } else { second })
}

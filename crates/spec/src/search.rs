//! Breadth-first search over the states of a model.
//!
//! The visited set holds 128-bit digests in place of states (hash compaction, Stern and
//! Dill, 1996): among a million states, two share a digest with a chance below 10⁻²⁶.
//! Library searches keep every state whole, which took more than 6 GB here.

use std::collections::HashMap;
use std::fmt::{self, Debug};
use std::hash::Hash;

use xxhash_rust::xxh3::Xxh3;

/// States after which a search gives up.
const STATE_LIMIT: usize = 1_000_000;

/// What a search found.
#[derive(Debug, Clone)]
pub struct ModelRun {
    /// The model.
    pub model: &'static str,
    /// Its variant.
    pub variant: &'static str,
    /// The variant is meant to violate a rule.
    pub is_broken: bool,
    /// Distinct states that were reached.
    pub states: usize,
    /// The search ended because of its limit.
    pub is_cut: bool,
    /// The rule that the first bad state violates.
    pub violation: Option<&'static str>,
    /// The shortest way to that state.
    pub trace: Vec<String>,
}

impl ModelRun {
    /// Whether a sound variant was searched whole without a violation, and a broken one
    /// was caught.
    #[must_use]
    pub fn is_expected(&self) -> bool {
        !self.is_cut && self.violation.is_some() == self.is_broken
    }
}

impl fmt::Display for ModelRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (model, variant, states) = (self.model, self.variant, self.states);
        write!(f, "{model:<10} {variant:<34} {states:>8} states  ")?;
        match self.violation {
            Some(rule) => write!(f, "violated in {} steps: {rule}", self.trace.len()),
            None if self.is_cut => f.write_str("not finished"),
            None => f.write_str("holds"),
        }
    }
}

/// How a state was reached first: the digest of the one before, and the number of the
/// step that was taken there.
type StepBefore = Option<(u128, usize)>;

/// Searches all states that `enabled` steps lead to from `start`, breadth first, for one
/// in which `violated` names a rule.
pub fn explore<S, A>(
    model: &'static str,
    (variant, is_broken): (&'static str, bool),
    start: S,
    enabled: impl Fn(&S) -> Vec<A>,
    apply: impl Fn(&S, &A) -> S,
    violated: impl Fn(&S) -> Option<&'static str>,
) -> ModelRun
where
    S: Clone + Hash,
    A: Debug,
{
    let mut run = ModelRun {
        model,
        variant,
        is_broken,
        states: 0,
        is_cut: false,
        violation: None,
        trace: Vec::new(),
    };
    let mut reached: HashMap<u128, StepBefore> = HashMap::from([(digest(&start), None)]);
    let mut level = vec![start.clone()];
    while !level.is_empty() && run.violation.is_none() && !run.is_cut {
        let mut below = Vec::new();
        for state in level {
            if reached.len() > STATE_LIMIT {
                run.is_cut = true;
                break;
            }
            let from = digest(&state);
            for (number, step) in enabled(&state).iter().enumerate() {
                let next = apply(&state, step);
                let to = digest(&next);
                if reached.contains_key(&to) {
                    continue;
                }
                reached.insert(to, Some((from, number)));
                run.violation = violated(&next);
                if run.violation.is_some() {
                    run.trace = replay(&reached, to, start, &enabled, &apply);
                    run.states = reached.len();
                    return run;
                }
                below.push(next);
            }
        }
        level = below;
    }
    run.states = reached.len();
    run
}

/// The names of the steps from `start` to the state with digest `end`.
fn replay<S: Clone, A: Debug>(
    reached: &HashMap<u128, StepBefore>,
    end: u128,
    start: S,
    enabled: impl Fn(&S) -> Vec<A>,
    apply: impl Fn(&S, &A) -> S,
) -> Vec<String> {
    let mut numbers = Vec::new();
    let mut at = end;
    while let Some((before, number)) = reached[&at] {
        numbers.push(number);
        at = before;
    }
    let mut state = start;
    let mut names = Vec::new();
    for number in numbers.into_iter().rev() {
        let steps = enabled(&state);
        names.push(format!("{:?}", steps[number]));
        state = apply(&state, &steps[number]);
    }
    names
}

fn digest(state: &impl Hash) -> u128 {
    let mut hash = Xxh3::new();
    state.hash(&mut hash);
    hash.digest128()
}

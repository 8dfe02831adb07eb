//! A decider that no product can have: it knows every length and the present load.

use std::collections::{BTreeMap, BTreeSet};

use base::{AttemptNumber, prelude::*};
use config::CallPriority;
use route::{CallId, RouteAction, RouteCall, RouteEvent};

use crate::policy::{BenchCall, Workload, bench_call::call_index, bench_desk::runner_id};

/// Load by which a cached prefix makes a runner look lighter, in generations.
const PREFIX_BONUS: f64 = 2.0;

/// A generation at a runner.
#[derive(Debug, Clone, Copy)]
struct KnownGeneration {
    context: u32,
    left: u32,
}

/// A runner as it is.
#[derive(Debug, Default)]
struct KnownRunner {
    generations: BTreeMap<CallId, KnownGeneration>,
    prefixes: BTreeSet<u64>,
}

/// The oracle.
pub struct OracleDesk {
    lengths: Vec<u32>,
    memory_tokens: u32,
    runners: BTreeMap<RunnerId, KnownRunner>,
    open: BTreeSet<RunnerId>,
    places: BTreeMap<CallId, RunnerId>,
    queue: BTreeMap<(CallPriority, CallId), RouteCall>,
}

impl OracleDesk {
    /// An oracle for these calls.
    #[must_use]
    pub fn new(workload: &Workload, calls: &[BenchCall]) -> Self {
        let blocks = workload.engine.total_blocks.0;
        let runners = (0..workload.runners).map(|i| (runner_id(i), KnownRunner::default()));
        Self {
            lengths: calls.iter().map(|call| call.length.0).collect(),
            memory_tokens: (blocks - blocks / 50) * workload.engine.block_tokens,
            runners: runners.collect(),
            open: BTreeSet::new(),
            places: BTreeMap::new(),
            queue: BTreeMap::new(),
        }
    }

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, event: RouteEvent) -> Vec<RouteAction> {
        match event {
            RouteEvent::Members { members, .. } => {
                let open = members.into_iter().filter(|member| !member.leaving);
                self.open = open.map(|member| member.runner).collect();
            }
            RouteEvent::Cache { runner, event } => {
                let prefixes = self.runners.entry(runner).or_default();
                if event.stored {
                    prefixes.prefixes.insert(event.prefix);
                } else {
                    prefixes.prefixes.remove(&event.prefix);
                }
            }
            RouteEvent::Arrive(call) => {
                self.queue.insert((call.priority, call.id), call);
            }
            RouteEvent::Progress { call, .. } => {
                self.progress(call);
                return Vec::new();
            }
            RouteEvent::Ended { call, .. } => self.end(call),
            _ => return Vec::new(),
        }
        self.send_waiting()
    }

    fn progress(&mut self, call: CallId) {
        let Some(runner) = self.places.get(&call) else {
            return;
        };
        let runner = self.runners.entry(runner.clone()).or_default();
        if let Some(generation) = runner.generations.get_mut(&call) {
            generation.context += 1;
            generation.left = generation.left.saturating_sub(1);
        }
    }

    fn end(&mut self, call: CallId) {
        self.queue.retain(|(_, waiting), _| *waiting != call);
        if let Some(runner) = self.places.remove(&call) {
            self.runners.entry(runner).or_default().generations.remove(&call);
        }
    }

    fn send_waiting(&mut self) -> Vec<RouteAction> {
        let mut actions = Vec::new();
        let waiting: Vec<(CallPriority, CallId)> = self.queue.keys().copied().collect();
        for key in waiting {
            let call = &self.queue[&key];
            let length = self.lengths[call_index(call.id)];
            let context = call.prompt_tokens.0 + call.produced_tokens.0;
            let generation = KnownGeneration { context, left: length - call.produced_tokens.0 };
            if let Some(runner) = self.choose(call.prefix_hash, generation) {
                self.queue.remove(&key);
                self.places.insert(key.1, runner.clone());
                let known = self.runners.entry(runner.clone()).or_default();
                known.generations.insert(key.1, generation);
                let attempt = AttemptNumber(0);
                actions.push(RouteAction::Send { call: key.1, runner, attempt });
            } else if key.0 != CallPriority::Urgent {
                break;
            }
        }
        actions
    }

    fn choose(&self, prefix: u64, generation: KnownGeneration) -> Option<RunnerId> {
        let fits = self.open.iter().filter(|id| {
            let known = self.runners.get(*id).map(|runner| runner.generations.values().copied());
            peak_tokens(known.into_iter().flatten().chain([generation])) <= self.memory_tokens
        });
        let load = |id: &&RunnerId| {
            let Some(runner) = self.runners.get(*id) else {
                return 0.0;
            };
            let bonus = if runner.prefixes.contains(&prefix) { PREFIX_BONUS } else { 0.0 };
            runner.generations.len() as f64 - bonus
        };
        fits.min_by(|a, b| load(a).total_cmp(&load(b))).cloned()
    }
}

/// Most memory that generations which advance together will need.
fn peak_tokens(generations: impl Iterator<Item = KnownGeneration>) -> u32 {
    let mut generations: Vec<KnownGeneration> = generations.collect();
    generations.sort_unstable_by_key(|generation| std::cmp::Reverse(generation.left));
    let mut contexts = 0;
    let mut peak = 0;
    for (index, generation) in generations.iter().enumerate() {
        contexts += generation.context;
        peak = peak.max(contexts + (index as u32 + 1) * generation.left);
    }
    peak
}

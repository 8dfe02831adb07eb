//! Assignment of models to runners.

use std::collections::{BTreeMap, BTreeSet};

use base::{prelude::*, rendezvous_order};

use crate::{OrderModel, OrderPlan, OrderRunner};

/// Computes the models that each available runner should have loaded. The result depends
/// only on the plan and the runners, so that all holders agree on it, and rendezvous
/// hashing keeps the number of models that move small when a runner is added or removed.
#[must_use]
pub fn assign_models(
    plan: &OrderPlan,
    runners: &[OrderRunner],
) -> BTreeMap<RunnerId, BTreeSet<ModelName>> {
    let mut desired: BTreeMap<RunnerId, BTreeSet<ModelName>> = BTreeMap::new();
    for service in &plan.services {
        let is_available = |runner: &&OrderRunner| {
            runner.service == service.service
                && !runner.leaving
                && !plan.drained.contains(&runner.runner)
        };
        let candidates: Vec<&OrderRunner> = runners.iter().filter(is_available).collect();
        for candidate in &candidates {
            desired.entry(candidate.runner.clone()).or_default();
        }
        for model in &service.models {
            for runner in choose_runners(model, &candidates) {
                desired.entry(runner).or_default().insert(model.name.clone());
            }
        }
    }
    desired
}

/// Chooses runners for a model round-robin over the places, so that its runners are spread
/// over failure domains; within a place in rendezvous order.
fn choose_runners(model: &OrderModel, candidates: &[&OrderRunner]) -> Vec<RunnerId> {
    if model.runners == 0 {
        return candidates.iter().map(|candidate| candidate.runner.clone()).collect();
    }
    let key = model.name.as_str();
    let mut ranks: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked = Vec::new();
    let by_id: BTreeMap<&str, &OrderRunner> =
        candidates.iter().map(|candidate| (candidate.runner.as_str(), *candidate)).collect();
    let places = rendezvous_order(key, places_of(candidates).into_iter());
    for runner in rendezvous_order(key, by_id.keys().copied()) {
        let candidate = by_id[runner];
        let rank = ranks.entry(candidate.place.as_str()).or_default();
        let place = places.iter().position(|place| *place == candidate.place.as_str());
        ranked.push((*rank, place, candidate));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, place, _)| (*rank, *place));
    let chosen = ranked.into_iter().take(model.runners as usize);
    chosen.map(|(_, _, candidate)| candidate.runner.clone()).collect()
}

fn places_of<'a>(candidates: &[&'a OrderRunner]) -> BTreeSet<&'a str> {
    candidates.iter().map(|candidate| candidate.place.as_str()).collect()
}

//! Which runners should have which models.

use std::collections::{BTreeMap, BTreeSet};

use base::{prelude::*, rendezvous_order};

use crate::{OrderModel, OrderPlan, OrderRunner};

/// The models desired on each runner that stays. Every holder that sees the same plan and
/// runners finds the same spread, and a runner that comes or goes moves few models.
#[must_use]
pub fn assign_models(
    plan: &OrderPlan,
    runners: &[OrderRunner],
) -> BTreeMap<RunnerId, BTreeSet<ModelName>> {
    let mut desired: BTreeMap<RunnerId, BTreeSet<ModelName>> = BTreeMap::new();
    for service in &plan.services {
        let stays = |runner: &&OrderRunner| {
            runner.service == service.service
                && !runner.leaving
                && !plan.drained.contains(&runner.runner)
        };
        let members: Vec<&OrderRunner> = runners.iter().filter(stays).collect();
        for member in &members {
            desired.entry(member.runner.clone()).or_default();
        }
        for model in &service.models {
            for runner in choose(model, &members) {
                desired.entry(runner).or_default().insert(model.name.clone());
            }
        }
    }
    desired
}

/// Takes the best runner of each place in turn, until there are enough.
fn choose(model: &OrderModel, members: &[&OrderRunner]) -> Vec<RunnerId> {
    if model.runners == 0 {
        return members.iter().map(|member| member.runner.clone()).collect();
    }
    let key = model.name.as_str();
    let mut ranks: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked = Vec::new();
    let by_id: BTreeMap<&str, &OrderRunner> =
        members.iter().map(|member| (member.runner.as_str(), *member)).collect();
    let places = rendezvous_order(key, places_of(members).into_iter());
    for runner in rendezvous_order(key, by_id.keys().copied()) {
        let member = by_id[runner];
        let rank = ranks.entry(member.place.as_str()).or_default();
        let place = places.iter().position(|place| *place == member.place.as_str());
        ranked.push((*rank, place, member));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, place, _)| (*rank, *place));
    let chosen = ranked.into_iter().take(model.runners as usize);
    chosen.map(|(_, _, member)| member.runner.clone()).collect()
}

fn places_of<'a>(members: &[&'a OrderRunner]) -> BTreeSet<&'a str> {
    members.iter().map(|member| member.place.as_str()).collect()
}

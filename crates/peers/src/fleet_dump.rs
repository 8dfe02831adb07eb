//! The fleet's state as JSON, for the dump.

use base::prelude::*;
use serde_json::{Value, json};

use crate::FleetDesk;
use crate::node_state::NodeState;
use crate::runner_state::RunnerState;

impl FleetDesk {
    /// The whole state at `now`.
    #[must_use]
    pub fn dump(&self, now: TimePoint) -> Value {
        let nodes = self.nodes.iter().map(|(vm, node)| (vm.to_string(), node_dump(now, node)));
        let runners = self.runners.iter().map(|(runner, state)| {
            let leaving = self.is_runner_leaving(runner, state);
            (runner.to_string(), runner_dump(now, state, leaving))
        });
        json!({
            "vm": self.own_record.vm,
            "incarnation": self.own_record.incarnation.to_string(),
            "version": self.change,
            "cut_off": self.cut_off,
            "leaving": self.own_record.leaving,
            "platform_silence_ms": self.platform_last_heard.map(|heard| now.since(heard).as_millis()),
            "entries": self.own_record.entries,
            "peers": nodes.collect::<Value>(),
            "runners": runners.collect::<Value>(),
        })
    }
}

fn node_dump(now: TimePoint, node: &NodeState) -> Value {
    json!({
        "place": node.place,
        "steward": node.steward,
        "live": node.live,
        "leaving": node.is_leaving(),
        "listed": node.listed,
        "silence_ms": node.last_heard.map(|heard| now.since(heard).as_millis()),
        "incarnation": node.seen.incarnation.to_string(),
        "config_offset": node.config_offset,
        "seen": node.seen.change,
        "acknowledged": node.acked,
        "entries": node.record.as_ref().map(|record| &record.entries),
    })
}

fn runner_dump(now: TimePoint, state: &RunnerState, leaving: bool) -> Value {
    json!({
        "service": state.service,
        "place": state.place,
        "address": state.address,
        "leaving": leaving,
        "report": state.known.as_ref().map(|known| &known.report),
        "report_age_ms": state.known.as_ref().map(|known| known.age(now).as_millis()),
        "cache_events_until": state.events_next(),
    })
}

//! Names of the metrics of runners, and of the calls and runs that other nodes take over.

use super::NodeMetrics;

impl NodeMetrics {
    /// Registers the metrics of runners and of what they state.
    pub(super) fn register_runners(&mut self) {
        let registry = &mut self.registry;
        registry.register("runner_waits", "Waits begun by runners", self.runner_waits.clone());
        registry.register(
            "end_habits",
            "Runners that went on with a run that they were to end",
            self.end_habits.clone(),
        );
        registry.register(
            "stop_orders",
            "Orders to stop runs whose callers had left",
            self.stop_orders.clone(),
        );
        registry.register(
            "runner_limits",
            "Changes of the limits that runners name",
            self.runner_limits.clone(),
        );
        registry.register("cold_runners", "Runners that became cold", self.cold_runners.clone());
        registry.register(
            "brittle_runners",
            "Changes of what runners state about being brittle",
            self.brittle_runners.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Requests rejected by brittle runners",
            self.brittle_rejections.clone(),
        );
        registry.register(
            "evacuations",
            "Evacuations of places that began or ended",
            self.evacuations.clone(),
        );
        registry.register(
            "speed_changes",
            "Times that a runner became slower or faster than usual, or usual again",
            self.speed_changes.clone(),
        );
        registry.register(
            "uneven_runners",
            "Runners that are slower or faster than usual",
            self.uneven_runners.clone(),
        );
        registry.register(
            "runner_crashes",
            "Calls lost as their runner crashed",
            self.runner_crashes.clone(),
        );
        registry.register(
            "runner_answers",
            "Answers of runners to this node",
            self.runner_answers.clone(),
        );
        registry.register(
            "runner_failures",
            "Connections and requests to runners without an answer",
            self.runner_failures.clone(),
        );
        registry.register(
            "runners_unreached",
            "Runners that were not reached any more",
            self.runners_unreached.clone(),
        );
        registry.register(
            "reach_losses",
            "Times that no runner of a service was reached any more",
            self.reach_losses.clone(),
        );
        registry.register(
            "unproven_answers",
            "Questions about runners without evidence",
            self.unproven_answers.clone(),
        );
        registry.register("forwards", "Offers of calls to other nodes", self.forwards.clone());
        registry.register(
            "forwarded_calls",
            "Calls forwarded by other nodes",
            self.forwarded_calls.clone(),
        );
        registry.register("runs_moved", "Runs moved for other nodes", self.runs_moved.clone());
        registry.register("parts_blocked", "Parts of prompts blocked", self.parts_blocked.clone());
    }
}

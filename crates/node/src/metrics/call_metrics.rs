//! Names of the metrics of requests and their sends.

use super::NodeMetrics;

impl NodeMetrics {
    /// Registers the metrics of requests and their sends.
    pub(super) fn register_calls(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("sends", "Sends to runners", self.sends.clone());
        registry.register("repeats", "Sends beyond the first of a request", self.retries.clone());
        registry.register(
            "repeats_denied",
            "Repeats that the shared budget did not allow",
            self.retries_denied.clone(),
        );
        registry.register("late_sends", "Late calls by what followed", self.late_sends.clone());
        registry.register(
            "answers_cut_off",
            "Answers whose rest was given up at a cut-off node",
            self.answers_cut_off.clone(),
        );
        registry.register("hedges", "Second sends of slow requests", self.hedges.clone());
        registry.register(
            "hedges_denied",
            "Slow requests without a second send",
            self.hedges_denied.clone(),
        );
        registry.register(
            "sends_withheld",
            "Requests not sent since their runner accepts none",
            self.sends_withheld.clone(),
        );
        registry.register(
            "stop_refusals",
            "Requests refused since the node was stopping",
            self.stop_refusals.clone(),
        );
        registry.register(
            "stop_cuts",
            "Requests without an answer at the end of a stop",
            self.stop_cuts.clone(),
        );
        registry.register(
            "repeated_assignments",
            "Assignments of a call to a runner that had just refused it",
            self.repeated_assignments.clone(),
        );
    }
}

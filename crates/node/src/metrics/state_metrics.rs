//! Names of the metrics of the node's state, its peers and the store, and of the histograms.

use super::NodeMetrics;

impl NodeMetrics {
    /// Registers the metrics of the node's state, its peers and the store, and the histograms.
    pub(super) fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register("moves", "Moves of running streams", self.moves.clone());
        registry.register("plans", "Configurations put in force", self.plans.clone());
        registry.register(
            "plan_fetches",
            "Transfers of a configuration from another node",
            self.plan_fetches.clone(),
        );
        registry.register(
            "plans_sent",
            "Transfers of the configuration to other nodes",
            self.plans_sent.clone(),
        );
        registry.register(
            "store_failures",
            "Failed exchanges with the store",
            self.store_failures.clone(),
        );
        registry.register("store_eras", "Higher eras of the store seen", self.store_eras.clone());
        registry.register(
            "cursors_dropped",
            "Positions in the topics of the store dropped",
            self.cursors_dropped.clone(),
        );
        registry.register(
            "records_rewritten",
            "Records of this node written to the store again",
            self.records_rewritten.clone(),
        );
        registry.register("beats", "Heartbeats of other nodes", self.heartbeats.clone());
        registry.register(
            "messages_skipped",
            "Messages of other nodes that could not be read",
            self.messages_skipped.clone(),
        );
        registry.register("lines_dropped", "Log lines left out", self.lines_dropped.clone());
        registry.register("reloads", "Reloads of the settings", self.reloads.clone());
        registry.register("active", "Requests in progress", self.active.clone());
        registry.register("read_bytes", "Bytes read that are kept", self.read_bytes.clone());
        registry.register(
            "reads_given_up",
            "Heads and bodies given up for their size",
            self.reads_given_up.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.first_byte_time.clone(),
        );
        registry.register(
            "loop_hold_seconds",
            "Longest time in each second for which one poll held the event loop",
            self.loop_holds.clone(),
        );
        registry.register("loop_lag_seconds", "How late timers fire", self.loop_lags.clone());
        registry.register("total_seconds", "Time to the end", self.total_time.clone());
        registry.register("queued_seconds", "Time without a runner", self.queue_time.clone());
    }
}

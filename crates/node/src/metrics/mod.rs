//! Counters and latency histograms, exposed in the Prometheus text format.

mod call_metrics;
mod metric_labels;
mod runner_metrics;
mod state_metrics;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

pub use metric_labels::{HedgeLabels, OutcomeLabels, ServiceLabels, WithheldLabels};

/// Metrics of a node.
pub struct NodeMetrics {
    registry: Registry,
    /// Finished requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Sends to runners.
    pub sends: Counter,
    /// Sends beyond the first of a request.
    pub retries: Counter,
    /// Retries denied by the shared retry budget.
    pub retries_denied: Counter,
    /// Second sends of slow requests, by what became of them.
    pub hedges: Family<HedgeLabels, Counter>,
    /// Slow requests without a second send, by reason.
    pub hedges_denied: Family<WithheldLabels, Counter>,
    /// Requests not sent to a runner that was assigned, since it accepts none, by reason.
    pub sends_withheld: Family<WithheldLabels, Counter>,
    /// Assignments of a call to a runner that had just refused it.
    pub repeated_assignments: Counter,
    /// Waits that runners asked for.
    pub runner_waits: Counter,
    /// Limits that runners named, changed or ended.
    pub runner_limits: Counter,
    /// Evacuations of places that began or ended.
    pub evacuations: Counter,
    /// Runners that became cold.
    pub cold_runners: Counter,
    /// Runners that stated that they are brittle, and changes and ends of that.
    pub brittle_runners: Counter,
    /// Requests that brittle runners rejected.
    pub brittle_rejections: Counter,
    /// Times that the speed factor of a runner left or entered the dead band.
    pub speed_changes: Counter,
    /// Runners whose speed factor is outside the dead band.
    pub uneven_runners: Gauge,
    /// Runners that crashed as they began to answer a call of this node, once for each call.
    pub runner_crashes: Counter,
    /// Parts of prompts blocked since runners crash under them.
    pub parts_blocked: Counter,
    /// Answers of runners to this node, of any kind, by service.
    pub runner_answers: Family<ServiceLabels, Counter>,
    /// Connections and requests to runners that failed without an answer, by service.
    pub runner_failures: Family<ServiceLabels, Counter>,
    /// Runners that this node did not reach any more.
    pub runners_unreached: Counter,
    /// Times that this node reached no runner of a service any more.
    pub reach_losses: Counter,
    /// Questions of other nodes about runners of which this node knew nothing but a connection.
    pub unproven_answers: Counter,
    /// Calls that this node did not take or send since it was stopping, by reason.
    pub stop_refusals: Family<WithheldLabels, Counter>,
    /// Calls still under way at the end of a stop: plain ones, told that their outcome is unknown, and streams.
    pub stop_cuts: Counter,
    /// Runners that went on with a run that they were to end, by what they ignored.
    pub end_habits: Family<WithheldLabels, Counter>,
    /// Orders to stop runs whose callers had left, by outcome.
    pub stop_orders: Family<WithheldLabels, Counter>,
    /// Offers of calls to other nodes, by outcome.
    pub forwards: Family<OutcomeLabels, Counter>,
    /// Calls that other nodes forwarded to this one, by outcome.
    pub forwarded_calls: Family<OutcomeLabels, Counter>,
    /// Late plain calls, by whether they were sent to another runner as well.
    pub late_sends: Family<WithheldLabels, Counter>,
    /// Answers that had begun and whose rest was given up, since this node was cut off from the runner.
    pub answers_cut_off: Counter,
    /// Runs that this node was to move for other ones, by outcome.
    pub runs_moved: Family<WithheldLabels, Counter>,
    /// Runner changes of running streams, by outcome.
    pub moves: Family<OutcomeLabels, Counter>,
    /// Configurations activated.
    pub plans: Counter,
    /// Transfers of a configuration from another node, by outcome.
    pub plan_fetches: Family<OutcomeLabels, Counter>,
    /// Transfers of the configuration to other nodes that were begun.
    pub plans_sent: Counter,
    /// Failed exchanges with the store.
    pub store_failures: Counter,
    /// Higher eras of the store seen.
    pub store_eras: Counter,
    /// Positions in the store's topics dropped.
    pub cursors_dropped: Counter,
    /// Records of this node written to the store again.
    pub records_rewritten: Counter,
    /// Heartbeats received from other nodes.
    pub heartbeats: Counter,
    /// Messages of other nodes that could not be read.
    pub messages_skipped: Counter,
    /// Log lines dropped by the rate limit.
    pub lines_dropped: Counter,
    /// Reloads of the settings, by outcome.
    pub reloads: Family<OutcomeLabels, Counter>,
    /// Requests in progress.
    pub active: Gauge,
    /// Bytes that were read and are kept.
    pub read_bytes: Gauge,
    /// Heads and bodies that were given up for their size.
    pub reads_given_up: Counter,
    /// Time from arrival to the first byte of a stream, in seconds.
    pub first_byte_time: Histogram,
    /// Time from arrival to the end of the request, in seconds.
    pub total_time: Histogram,
    /// Time from arrival to each send to a runner, in seconds.
    pub queue_time: Histogram,
    /// Longest time in each second for which one poll held the event loop, in seconds.
    pub loop_holds: Histogram,
    /// How late timers fire, in seconds.
    pub loop_lags: Histogram,
}

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
/// Number of histogram buckets; each bound is twice the one before.
const BUCKETS: u16 = 15;

impl NodeMetrics {
    /// Creates and registers all metrics.
    #[must_use]
    pub fn new() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("yard_node"),
            requests: Family::default(),
            sends: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            hedges: Family::default(),
            hedges_denied: Family::default(),
            sends_withheld: Family::default(),
            repeated_assignments: Counter::default(),
            runner_waits: Counter::default(),
            runner_limits: Counter::default(),
            evacuations: Counter::default(),
            cold_runners: Counter::default(),
            brittle_runners: Counter::default(),
            brittle_rejections: Counter::default(),
            speed_changes: Counter::default(),
            uneven_runners: Gauge::default(),
            runner_crashes: Counter::default(),
            parts_blocked: Counter::default(),
            runner_answers: Family::default(),
            runner_failures: Family::default(),
            runners_unreached: Counter::default(),
            reach_losses: Counter::default(),
            unproven_answers: Counter::default(),
            stop_refusals: Family::default(),
            stop_cuts: Counter::default(),
            end_habits: Family::default(),
            stop_orders: Family::default(),
            forwards: Family::default(),
            forwarded_calls: Family::default(),
            late_sends: Family::default(),
            answers_cut_off: Counter::default(),
            runs_moved: Family::default(),
            moves: Family::default(),
            plans: Counter::default(),
            plan_fetches: Family::default(),
            plans_sent: Counter::default(),
            store_failures: Counter::default(),
            store_eras: Counter::default(),
            cursors_dropped: Counter::default(),
            records_rewritten: Counter::default(),
            heartbeats: Counter::default(),
            messages_skipped: Counter::default(),
            lines_dropped: Counter::default(),
            reloads: Family::default(),
            active: Gauge::default(),
            read_bytes: Gauge::default(),
            reads_given_up: Counter::default(),
            first_byte_time: histogram(),
            total_time: histogram(),
            queue_time: histogram(),
            loop_holds: histogram(),
            loop_lags: histogram(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        self.register_calls();
        self.register_runners();
        self.register_state();
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut page = String::new();
        // Writing to a `String` cannot fail.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}

//! Labels that tell the counts of one metric apart.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a finished request or stream move.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Outcome of the request or move.
    pub outcome: &'static str,
    /// Why it was refused or failed; empty otherwise.
    pub reason: &'static str,
}

/// Labels of a send that was withheld.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WithheldLabels {
    /// Why the runner accepts no requests.
    pub reason: &'static str,
}

/// Labels of what concerns one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Labels of a hedge.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HedgeLabels {
    /// What became of it.
    pub outcome: &'static str,
}

//! What the end of a source's body says about its stream, and which orders may have brought it about.
//!
//! Load pattern: runners answer with neither a length nor chunks, and are ordered to stop runs that go on
//! elsewhere, by this node or by another one. Such a body ends with its connection, whether its run is over or
//! was stopped.

use base::prelude::*;

/// Who has ordered a runner to stop a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderOrigin {
    /// This node.
    ThisNode,
    /// Another node; `None` if it is not known which.
    OtherNode(Option<VmId>),
}

impl OrderOrigin {
    /// Name of the origin, for logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::ThisNode => "this_node",
            Self::OtherNode(_) => "other_node",
        }
    }
}

/// An order that may have been followed, or has been.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StopOrder {
    runner: RunnerId,
    origin: OrderOrigin,
    /// When who has given it knows what has become of it, at the latest.
    known_at: TimePoint,
    /// The run that it was given for has stopped by it: a later run at the runner is not concerned.
    is_followed: bool,
}

impl StopOrder {
    fn is_open(&self, runner: &RunnerId, origin: &OrderOrigin) -> bool {
        self.runner == *runner && self.origin == *origin && !self.is_followed
    }
}

/// The orders to stop one request's runs, of this node and of others, except those that are known not to have been
/// followed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StopOrders(Vec<StopOrder>);

impl StopOrders {
    /// Records that `runner` may follow an order from now on. Each order is to be recorded before it is sent. Who has
    /// given it knows at `known_at` what has become of it.
    pub fn note_order(&mut self, runner: &RunnerId, origin: OrderOrigin, known_at: TimePoint) {
        self.0.push(StopOrder { runner: runner.clone(), origin, known_at, is_followed: false });
    }

    /// Records that one such order was followed.
    pub fn note_followed(&mut self, runner: &RunnerId, origin: &OrderOrigin) {
        if let Some(open) = self.0.iter_mut().find(|order| order.is_open(runner, origin)) {
            open.is_followed = true;
        }
    }

    /// Records that the latest such order was not followed, and will not be. What another node says at `now` holds for
    /// its earlier ones as well, as far as it knows what has become of them.
    pub fn note_not_followed(&mut self, runner: &RunnerId, origin: &OrderOrigin, now: TimePoint) {
        if let Some(open) = self.0.iter().rposition(|order| order.is_open(runner, origin)) {
            self.0.remove(open);
        }
        if matches!(origin, OrderOrigin::OtherNode(_)) {
            self.0.retain(|order| !order.is_open(runner, origin) || order.known_at > now);
        }
    }

    /// Records that a new run begins at `runner`. Orders of this node without an answer may still arrive there; other
    /// nodes give none for a run that they know to have gone on elsewhere.
    pub fn begin_run(&mut self, runner: &RunnerId) {
        let may_arrive = |order: &StopOrder| order.is_open(runner, &OrderOrigin::ThisNode);
        self.0.retain(|order| order.runner != *runner || may_arrive(order));
    }

    /// Who may have had the run at `runner` stopped; `None` if nobody.
    #[must_use]
    pub fn stopped_by(&self, runner: &RunnerId) -> Option<OrderOrigin> {
        self.0.iter().find(|order| order.runner == *runner).map(|order| order.origin.clone())
    }
}

/// What shows the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// A length or chunks, from the runner.
    Framed,
    /// Chunks of another node, which has read the runner. It knows its own orders only.
    Relayed,
    /// Nothing but the end of the connection.
    ByConnection,
}

impl BodyFraming {
    /// Name of the framing, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::Relayed => "relayed",
            Self::ByConnection => "by_connection",
        }
    }
}

/// A body that has ended without an error.
#[derive(Debug, Clone)]
pub struct BodyEnd {
    /// What shows its end.
    pub framing: BodyFraming,
    /// Whether an event has come from it.
    pub has_event: bool,
    /// Whether it ends inside an event.
    pub is_in_event: bool,
    /// Who may have had its run stopped.
    pub stopped_by: Option<OrderOrigin>,
}

/// What the end of a body says about its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndMeaning {
    /// The stream has ended.
    Whole,
    /// The stream has ended, or its run was stopped: what became of the orders tells.
    Unproven,
    /// The stream has not ended.
    BrokenOff,
}

impl EndMeaning {
    /// Name of the meaning, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Unproven => "unproven",
            Self::BrokenOff => "broken_off",
        }
    }
}

/// Decides what the end of a body says about its stream.
#[must_use]
pub fn judge_end(end: &BodyEnd) -> EndMeaning {
    // A connection that ends before any event says nothing about the stream.
    let is_empty = end.framing == BodyFraming::ByConnection && !end.has_event;
    if end.is_in_event || is_empty {
        return EndMeaning::BrokenOff;
    }
    match (end.framing, &end.stopped_by) {
        (BodyFraming::Framed, _) | (_, None) => EndMeaning::Whole,
        (BodyFraming::Relayed | BodyFraming::ByConnection, Some(_)) => EndMeaning::Unproven,
    }
}

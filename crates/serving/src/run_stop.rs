//! Decides what becomes of a stream whose source has been ordered to stop its run.
//!
//! Load pattern: a node is behind, or its link is full. What the source wrote before it stopped is read after
//! its answer to the order, which came on another connection. That data comes late says nothing about the
//! source; what it answered, and the events that it made beyond that, do.

use base::prelude::*;

/// Events beyond its count that a source may have been writing as it stopped.
const SPARE_EVENTS: u64 = 4;
/// Time without an event in which the stream of a run closes whose stop is confirmed.
const CLOSE_TIME: TimeSpan = TimeSpan::millis(400);
/// Longest time for which events from before a confirmed stop are read. The next runner may leave meanwhile,
/// and makes what is not read again.
const READ_TIME: TimeSpan = TimeSpan::millis(800);
/// Longest time for which a stream is read that has events beyond the count of its source, and longest silence
/// of one whose run is not found.
const LATE_TIME: TimeSpan = TimeSpan::seconds(2);

/// What a source has answered to the order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderAnswer {
    /// It has stopped the run, which had made so many events; `None` if it does not tell.
    Stopped(Option<u64>),
    /// It does not have the run: that has ended, or was stopped by an order whose answer is lost.
    NotFound,
    /// It found no room for the rest of the copy, and goes on.
    NoRoom,
    /// It has refused the order, or accepts none at present.
    Refused,
    /// It could not be connected to.
    Unreached,
    /// The order was sent, and nothing shows what became of it: it may have been followed.
    Unknown,
}

impl OrderAnswer {
    /// Name of the answer, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopped(_) => "stopped",
            Self::NotFound => "not_found",
            Self::NoRoom => "no_room",
            Self::Refused => "refused",
            Self::Unreached => "unreached",
            Self::Unknown => "unknown",
        }
    }
}

impl OrderAnswer {
    /// Whether another order may tell where the memory of a stopped run is.
    #[must_use]
    pub fn is_open(self) -> bool {
        matches!(self, Self::Unreached | Self::Unknown)
    }
}

/// The body of a source's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyState {
    /// More may come.
    Open,
    /// It has ended between two events, and nothing else shows whether the stream has.
    MaybeWhole,
    /// It has ended before the stream.
    Broken,
}

/// What is known of a source that was ordered to stop a run.
#[derive(Debug, Clone, Copy)]
pub struct StopFacts {
    /// What it has answered to the latest order; `None` before that.
    pub answer: Option<OrderAnswer>,
    /// Whether it may have followed an earlier order.
    pub may_have_stopped: bool,
    /// When the answer came.
    pub answered_at: TimePoint,
    /// When the last event was read.
    pub last_event_at: TimePoint,
    /// Events of the run that were read; `None` if its begin was read elsewhere.
    pub events: Option<u64>,
    /// Its body.
    pub body: BodyState,
    /// Whether the source, asked again after it had confirmed the stop, does not have the run.
    pub is_gone: bool,
    /// Whether the time is over for the answer to an order whose stream has closed.
    pub is_answer_late: bool,
}

/// What becomes of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopDecision {
    /// Read on.
    Wait,
    /// Send the order again, and keep the copy: whether the source will deliver the rest is not known.
    OrderAgain,
    /// The run has stopped: the next runner goes on with it.
    TakeNext,
    /// The source has ended the stream.
    Finish,
    /// The source goes on with the run, after it had confirmed that it has stopped it.
    GoesOn,
    /// The source goes on, since the order found no room.
    NoRoom,
    /// The source goes on, since it has not followed the order.
    Keep,
}

impl StopDecision {
    /// Name of the decision, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::OrderAgain => "order_again",
            Self::TakeNext => "take_next",
            Self::Finish => "finish",
            Self::GoesOn => "goes_on",
            Self::NoRoom => "no_room",
            Self::Keep => "keep",
        }
    }
}

/// Decides what becomes of the stream.
#[must_use]
pub fn decide_stop(facts: &StopFacts, now: TimePoint) -> StopDecision {
    match facts.body {
        BodyState::Open => follow_answer(facts, now),
        BodyState::MaybeWhole => follow_end(facts),
        BodyState::Broken => StopDecision::TakeNext,
    }
}

fn follow_answer(facts: &StopFacts, now: TimePoint) -> StopDecision {
    let is_due = stop_due(facts).is_some_and(|due| due <= now);
    match facts.answer {
        Some(OrderAnswer::Stopped(_)) if has_gone_on(facts) => StopDecision::GoesOn,
        Some(OrderAnswer::Stopped(_)) if facts.is_gone => StopDecision::TakeNext,
        Some(OrderAnswer::Stopped(_) | OrderAnswer::NotFound) if is_due => StopDecision::TakeNext,
        None | Some(OrderAnswer::Stopped(_) | OrderAnswer::NotFound) => StopDecision::Wait,
        Some(OrderAnswer::NoRoom) => StopDecision::NoRoom,
        Some(OrderAnswer::Refused) if !facts.may_have_stopped => StopDecision::Keep,
        Some(OrderAnswer::Refused | OrderAnswer::Unreached | OrderAnswer::Unknown) => {
            StopDecision::OrderAgain
        }
    }
}

/// A source that does not have the run any more, and whose body ends between two events, has ended the
/// stream there.
fn follow_end(facts: &StopFacts) -> StopDecision {
    match facts.answer {
        Some(OrderAnswer::NotFound) => StopDecision::Finish,
        None if !facts.is_answer_late => StopDecision::Wait,
        _ => StopDecision::TakeNext,
    }
}

/// Whether the source has made events after the stop that it confirmed, beyond what it may have been writing.
fn has_gone_on(facts: &StopFacts) -> bool {
    let Some(OrderAnswer::Stopped(Some(made))) = facts.answer else { return false };
    facts.events.is_some_and(|events| events > made + SPARE_EVENTS)
}

/// When an open body is read no longer after the answer. Events from before the stop, which may come late,
/// put that off as long as they come if the memory is not certain. If it is, they are a reason to wait for a short
/// time only, unless there are more than the source has counted: it may go on.
#[must_use]
pub fn stop_due(facts: &StopFacts) -> Option<TimePoint> {
    match facts.answer? {
        OrderAnswer::Stopped(made) => {
            let has_more = made.zip(facts.events).is_some_and(|(made, events)| events > made);
            let limit = if has_more { LATE_TIME } else { READ_TIME };
            let heard_at = facts.last_event_at.max(facts.answered_at);
            Some((heard_at + CLOSE_TIME).min(facts.answered_at + limit))
        }
        OrderAnswer::NotFound => Some(facts.last_event_at.max(facts.answered_at) + LATE_TIME),
        OrderAnswer::NoRoom
        | OrderAnswer::Refused
        | OrderAnswer::Unreached
        | OrderAnswer::Unknown => None,
    }
}

//! The life of a stream after its first answer: where its run may go on, what is known of each place, what
//! is under way, and what to do next.
//!
//! [`StreamLife`] has no clock and does no I/O. It gets typed inputs with the time, and returns actions; every
//! input is looked at in every state. Load pattern: runners leave, fall silent for a moment or are cut off
//! from this node while their streams go on, and a place that could go on is not given up for one that
//! might.

mod body_end;
mod leaving_source;
mod left_run;
mod life_action;
mod life_input;
mod next_runner;
mod node_offer;
mod ordered_source;
mod run_places;
mod silent_source;
mod source_events;
mod standing_node;
mod stopped_run;
mod stored_deadlines;
mod stream_life;
mod stream_place;

pub use body_end::{BodyEnd, BodyFraming, EndMeaning, OrderOrigin, StopOrders, judge_end};
pub use left_run::{
    CallerView, LeftRunDecision, LeftRunFacts, decide_left_run, leaves_silent_source,
};
pub use life_action::{LifeAction, LifeEnd};
pub use life_input::{LifeInput, StepOutcome};
pub use run_places::{
    FreeFacts, LeftFacts, LeftPlace, OrderLeft, RunMemory, RunPlaces, may_free_memory,
};
pub use stream_life::{LifeStart, StreamLife};
pub use stream_place::{LifeStep, OfferedPlace, SeenPlace, StepNumber};

//! State of a serving node (plan, runners, peers and their load) and the rules for handling
//! one request.
//!
//! Nothing here performs I/O or reads a clock: the caller passes in updates and the current
//! time, and decisions are returned as values.

mod answer_rest;
mod attempt;
mod brittle_runners;
mod call_input;
mod call_times;
mod cold_runners;
mod evacuation;
mod fleet_loads;
mod fleet_members;
mod fleet_reach;
mod forecast_codec;
mod forward_choice;
mod heartbeat_sections;
mod hedge_limit;
mod hedge_timer;
mod input_table;
mod input_update;
mod peer_codec;
mod peer_heartbeat;
mod peer_table;
mod plan;
mod reach_table;
mod recent_routes;
mod relayed_run;
mod retry_budget;
mod run_ends;
mod run_places;
mod run_stop;
mod runner_limit;
mod runner_loss;
mod runner_speeds;
mod runner_statements;
mod runner_table;
mod runner_wait;
mod service_reach;
mod state_codec;
mod stop_window;
mod store_era;
mod stream_scan;
mod suspect_inputs;
mod transfer_pacer;

pub use answer_rest::{RestDecision, RestFacts, decide_rest};
pub use attempt::{AttemptTracker, FinalStatus, SendOutcome};
pub use brittle_runners::{BrittleChange, BrittleReport, BrittleTable, BrittleUpdate, RunnerRoom};
pub use call_input::CallInput;
pub use call_times::CallTimes;
pub use cold_runners::{
    ColdAllowance, ColdReport, ColdSettings, ColdSource, ColdTable, ColdUpdate,
};
pub use evacuation::{EvacuationStatement, EvacuationTable, EvacuationUpdate};
pub use fleet_loads::{FleetLoads, NodeLoad, RunnerLoad, add_load};
pub use fleet_members::FleetMembers;
pub use fleet_reach::{FleetReach, ReachShare, ReachUpdate, ServiceShare};
pub use forward_choice::{
    ForwardFailure, ForwardFleet, ForwardSource, ForwardState, ForwardTable, ForwardTarget,
};
pub use heartbeat_sections::{HeartbeatSections, MAX_SECTION_BYTES, SectionTag};
pub use hedge_limit::{HEDGE_WINDOW, HedgeDenial, HedgeLimit, HedgeRequest, HedgeTarget};
pub use hedge_timer::HedgeTimer;
pub use input_table::{InputChange, InputTable};
pub use input_update::{CrashReport, InputUpdate, TimedInput};
pub use peer_codec::{MESSAGE_VERSION, MessageError, decode_message, encode_message};
pub use peer_heartbeat::{PeerHeartbeat, PeerMessage, RunnerUpdate};
pub use peer_table::PeerTable;
pub use plan::{
    ColdPlan, EngineLimits, PlanVersion, RequestLimits, RouteKind, RouteRule, RouteTarget,
    ServicePlan, ServingPlan, TenantRule,
};
pub use reach_table::{ReachMembers, ReachQuestion, ReachTable, ServiceMembers};
pub use relayed_run::{RelayDecision, RelayFacts, decide_relay};
pub use retry_budget::{BudgetSettings, RetryBudget};
pub use run_ends::{EndHabit, EndTable};
pub use run_places::{
    AnswerPlace, NodePlace, OverlapRule, PlaceFacts, PlaceNodes, SilentPlace, SourceRun,
    SourceState, WaitDecision, WaitFacts, asks_source, choose_silent_place, decide_wait,
    list_node_places,
};
pub use run_stop::{BodyState, OrderAnswer, StopDecision, StopFacts, decide_stop, stop_due};
pub use runner_limit::{LimitChange, LimitReport, LimitTable, LimitUpdate, ServiceDemand};
pub use runner_loss::{ProbeOutcome, RunnerLoss, has_crashed};
pub use runner_speeds::{MAX_SPEED_ENTRIES, QuantizedLog, RunnerKey, SpeedEntry, SpeedUpdate};
pub use runner_table::{RunnerChange, RunnerEntry, RunnerIncarnation, RunnerRecord, RunnerTable};
pub use runner_wait::{MAX_RUNNER_WAIT, RunnerWait, WaitTable};
pub use service_reach::{AnswerNews, QuestionFailure, ServiceReach};
pub use state_codec::{Result as StateResult, StateCodecError, decode_state, encode_state};
pub use stop_window::{StopRefusal, StopWindow};
pub use store_era::{AnswerUse, EraView, StoreCursor};
pub use stream_scan::{StreamError, StreamScanner};
pub use transfer_pacer::{TransferForm, TransferId, TransferPacer};

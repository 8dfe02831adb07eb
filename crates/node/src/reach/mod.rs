//! Which runners this node reaches, and which of them other nodes reach.

mod node_question;
mod reach_question;
mod reach_watch;
mod records;
mod runner_answers;

pub use node_question::{node_answers, wait_node_lost};
pub use reach_question::{
    ANSWERS_PATH, REACH_PATH, answer_answers, answer_reach, connects_quickly, find_answering_node,
    find_reaching_node,
};
pub use reach_watch::{reaches_service, watch_reach};
pub use records::{
    apply_reach_update, exclude_unreached, heard_ages, impairment, is_cut_off, is_unreached,
    reached_share, record_runner_answer, record_runner_event, record_runner_failure,
    suspect_runner, wait_while_connecting, wait_while_unanswered,
};
pub use runner_answers::find_answer_place;

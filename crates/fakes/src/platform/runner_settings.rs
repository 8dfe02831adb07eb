//! What tests set of a runner before it starts or as it works: its pace, its scripts and what it bears.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use super::runner_script::RunnerScript;

/// Pause between two events of a stream where none is set.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Events of a stream where none is set.
const EVENTS: u64 = 30;

/// What a runner is.
#[derive(Debug, Clone)]
pub struct RunnerFakeSettings {
    /// Its id.
    pub id: String,
    /// Pause between two events of a stream.
    pub event_pause: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Time that a plain call takes.
    pub work: Duration,
    /// Time until a run that goes on from its memory is answered.
    pub resume_time: Duration,
    /// Time until a run is refused whose memory is gone.
    pub refusal_time: Duration,
}

impl RunnerFakeSettings {
    /// A quick runner.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let id = id.to_owned();
        let none = Duration::ZERO;
        Self {
            id,
            event_pause: EVENT_PAUSE,
            events: EVENTS,
            work: none,
            resume_time: none,
            refusal_time: none,
        }
    }
}

/// Scripts that several runners take in turn.
pub type SharedScripts = Rc<RefCell<VecDeque<RunnerScript>>>;

/// What a brittle runner can bear.
#[derive(Debug, Clone, Copy)]
pub struct BrittleRoom {
    /// Plain calls that it works on at once; it turns further ones away.
    pub calls: usize,
    /// Requests that it can turn away in a second: the value of `Server-Brittle`.
    pub turned_away: usize,
}

//! A caller, the relay that serves it, and engines.

use base::{AttemptNumber, prelude::*};
use relay::{
    ReadNumber, RelayAction, RelayEnd, RelayEvent, RelayLimits, RelaySettings, StreamCursor,
    StreamToken, TokenRelay,
};

use super::{StreamKind, StreamVariant};

/// Tokens of the whole answer.
pub(super) const LENGTH: u32 = 3;

/// Faults of all kinds together.
const MAX_FAULTS: u32 = 4;

/// How often each fault may still happen.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct StreamFaults {
    pub(super) all: u32,
    pub(super) lost_runners: u32,
    pub(super) refusals: u32,
    pub(super) breaks: u32,
    pub(super) skips: u32,
    pub(super) repeats: u32,
    pub(super) dead_entries: u32,
    pub(super) withdrawals: u32,
}

/// One attempt at an engine; its number marks the tokens that it produces.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct EngineAttempt {
    pub(super) generation: GenerationId,
    pub(super) attempt: AttemptNumber,
    /// Its first token.
    pub(super) start: u32,
    /// The attempt that produced the last token of its prefix.
    pub(super) parent: Option<u32>,
}

/// One reading of an attempt's tokens, in order from `at` on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct EngineReading {
    /// Number of the engine attempt.
    pub(super) branch: u32,
    pub(super) read: ReadNumber,
    pub(super) at: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StreamWorld {
    pub(super) kind: StreamKind,
    pub(super) left: StreamFaults,
    /// The relay of the entry that the caller is connected to.
    pub(super) relay: Option<TokenRelay>,
    pub(super) generation: GenerationId,
    pub(super) attempts: Vec<EngineAttempt>,
    pub(super) readings: Vec<EngineReading>,
    /// The engine attempt of each token that the caller has.
    pub(super) received: Vec<u32>,
    pub(super) is_finished: bool,
    pub(super) violation: Option<&'static str>,
}

fn settings(kind: StreamKind, generation: GenerationId) -> RelaySettings {
    RelaySettings {
        generation,
        streamed: kind.is_streamed(),
        continues_from_prefix: kind.continues(),
        has_prompt: true,
        deadline: TimePoint::NEVER,
        detached_deadline: None,
        limits: RelayLimits { max_attempts: 3, max_empty_reads: 1, ..RelayLimits::default() },
    }
}

fn runner() -> RunnerId {
    "engine".parse().expect("a valid name")
}

impl StreamFaults {
    /// What may still happen once all faults are used up: nothing.
    pub(super) fn settle(&mut self) {
        if self.all == 0 {
            *self = Self::default();
        }
    }
}

impl StreamWorld {
    pub(super) fn new(kind: StreamKind) -> Self {
        let left = StreamFaults {
            all: MAX_FAULTS,
            lost_runners: 2,
            refusals: 1,
            breaks: 1,
            skips: 1,
            repeats: 1,
            dead_entries: u32::from(kind.is_streamed()),
            withdrawals: 1,
        };
        let generation = GenerationId(1);
        Self {
            kind,
            left,
            relay: Some(TokenRelay::new(settings(kind, generation))),
            generation,
            attempts: Vec::new(),
            readings: Vec::new(),
            received: Vec::new(),
            is_finished: false,
            violation: None,
        }
    }

    /// Gives an event to the relay, and its actions to the world.
    pub(super) fn give(&mut self, event: RelayEvent) {
        let Some(relay) = &mut self.relay else { return };
        let actions = relay.handle(TimePoint::default(), event);
        relay.take_counters();
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Deliver { index, text } => self.receive(index, &text),
                RelayAction::Resume { attempt, read, from, .. } => self.resume(attempt, read, from),
                RelayAction::Finish(end) => self.finish(&end),
                RelayAction::Retry { .. } | RelayAction::CancelAttempt { .. } => (),
            }
        }
    }

    /// An engine takes the relay's current attempt.
    pub(super) fn place(&mut self, variant: StreamVariant) {
        let Some(relay) = &self.relay else { return };
        let (attempt, read) = (relay.attempt(), relay.read_number());
        let prefix: &[Arc<str>] =
            if variant == StreamVariant::PrefixDropped { &[] } else { relay.prefix() };
        let branch = self.attempts.len() as u32;
        let start = prefix.len() as u32;
        let parent = prefix.last().map(|text| branch_of(text));
        let generation = self.generation;
        self.attempts.push(EngineAttempt { generation, attempt, start, parent });
        self.readings.push(EngineReading { branch, read, at: start });
        self.give(RelayEvent::Placed { runner: runner() });
    }

    pub(super) fn token(
        &self,
        reading: &EngineReading,
        index: u32,
        variant: StreamVariant,
    ) -> RelayEvent {
        let engine = &self.attempts[reading.branch as usize];
        let mut read = reading.read;
        let mut token = StreamToken {
            generation: engine.generation,
            attempt: engine.attempt,
            index: TokenIndex(index),
            text: Arc::from(reading.branch.to_string()),
        };
        if let Some(relay) = &self.relay {
            match variant {
                StreamVariant::AnyIndex => token.index = relay.next_index(),
                StreamVariant::AnyAttempt => {
                    token.attempt = relay.attempt();
                    read = relay.read_number();
                }
                _ => (),
            }
        }
        RelayEvent::Token { read, token }
    }

    pub(super) fn ended(&self, reading: &EngineReading, variant: StreamVariant) -> RelayEvent {
        let attempt = self.attempts[reading.branch as usize].attempt;
        let present = self.relay.as_ref().map_or(reading.read, TokenRelay::read_number);
        let read = if variant == StreamVariant::AnyEnd { present } else { reading.read };
        RelayEvent::Completed { attempt, read }
    }

    /// The caller goes to another entry, with its cursor if it has one.
    pub(super) fn reconnect(&mut self, variant: StreamVariant) {
        let Some(branch) = self.received.last() else {
            self.generation = GenerationId(self.generation.0 + 1);
            self.relay = Some(TokenRelay::new(settings(self.kind, self.generation)));
            return;
        };
        let attempt = match variant {
            StreamVariant::CursorOfFirstAttempt => AttemptNumber(0),
            _ => self.attempts[*branch as usize].attempt,
        };
        let cursor = StreamCursor {
            workspace: "harmattan".parse().expect("a valid name"),
            service: "briefing".parse().expect("a valid name"),
            model: "glossary".parse().expect("a valid name"),
            runner: runner(),
            generation: self.generation,
            attempt,
            index: TokenIndex(self.received.len() as u32 - 1),
        };
        let settings = settings(self.kind, self.generation);
        let (relay, actions) = TokenRelay::from_cursor(TimePoint::default(), settings, &cursor);
        self.relay = Some(relay);
        self.perform(actions);
    }

    /// The runner that the cursor names has the attempt that was placed there last under
    /// this number.
    fn resume(&mut self, attempt: AttemptNumber, read: ReadNumber, from: TokenIndex) {
        let is_meant = |engine: &EngineAttempt| {
            engine.generation == self.generation && engine.attempt == attempt
        };
        let named =
            self.received.last().filter(|branch| is_meant(&self.attempts[**branch as usize]));
        let newest = self.attempts.iter().rposition(is_meant).map(|branch| branch as u32);
        if let Some(branch) = named.copied().or(newest) {
            // An engine has no tokens before the prefix that it continued from.
            let at = from.0.max(self.attempts[branch as usize].start);
            self.readings.push(EngineReading { branch, read, at });
        }
    }

    fn receive(&mut self, index: TokenIndex, text: &str) {
        let branch = branch_of(text);
        if index.0 as usize != self.received.len() {
            self.violation = Some("a token came twice or out of order");
        }
        self.received.push(branch);
        self.check_line(&self.received.clone());
    }

    /// Each token follows one of the same attempt, or of the attempt that was continued.
    fn check_line(&mut self, branches: &[u32]) {
        for (index, branch) in branches.iter().enumerate() {
            let engine = &self.attempts[*branch as usize];
            let before = index.checked_sub(1).map(|before| branches[before]);
            let expected = if engine.start == index as u32 { engine.parent } else { Some(*branch) };
            if before != expected {
                self.violation = Some("tokens of two generations were mixed");
            }
        }
    }

    fn finish(&mut self, end: &RelayEnd) {
        self.is_finished = true;
        if let Some(whole) = &end.full_answer {
            self.received = whole.iter().map(|text| branch_of(text)).collect();
            self.check_line(&self.received.clone());
        }
        let received = self.received.len() as u32;
        if end.outcome == CallOutcome::Done && received != LENGTH {
            self.violation = Some("done was said of a part");
        }
        if end.outcome == CallOutcome::Incomplete && end.delivered.0 != received {
            self.violation = Some("incomplete after N with another N delivered");
        }
        let ran = self.attempts.iter().any(|engine| engine.generation == self.generation);
        if end.outcome == CallOutcome::NotRun && ran {
            self.violation = Some("not run was said of a generation that ran");
        }
    }
}

fn branch_of(text: &str) -> u32 {
    text.parse().unwrap_or(u32::MAX)
}

//! The readable side of one attempt: its tokens and who reads them.

use std::cell::Cell;

use base::{TimePoint, prelude::*};
use serde_json::json;
use web::SseEvent;

use crate::ChangeBell;
use crate::engine::AttemptKey;

/// Whether an attempt goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TrackEnd {
    /// It goes on.
    #[default]
    Running,
    /// Its output is whole.
    Finished,
    /// It was cancelled, abandoned or lost its model.
    Dropped,
}

/// One attempt, as its readers see it.
pub struct GenerationTrack {
    /// The attempt.
    pub key: AttemptKey,
    /// The model that it needs.
    pub model: ModelName,
    /// Tokens that exist, with those of the given prefix.
    pub produced: Cell<u32>,
    /// Length of the whole output.
    pub length: u32,
    /// State of the generation, and when it reached that state.
    pub end: Cell<(TrackEnd, TimePoint)>,
    /// Connections that read it.
    pub readers: Cell<u32>,
    /// When the last reader left; meaningful without readers.
    pub reader_left: Cell<TimePoint>,
    /// Rings for each token and at the end.
    pub bell: ChangeBell,
    nonce: u16,
    tag: u32,
}

impl GenerationTrack {
    /// An attempt that has produced its prefix only.
    pub fn new(
        key: AttemptKey,
        model: ModelName,
        prefix: u32,
        length: u32,
        (nonce, tag): (u16, u32),
    ) -> Self {
        Self {
            key,
            model,
            produced: Cell::new(prefix),
            length,
            end: Cell::default(),
            readers: Cell::default(),
            reader_left: Cell::default(),
            bell: ChangeBell::default(),
            nonce,
            tag,
        }
    }

    /// Makes the token at `index` readable.
    pub fn produce(&self, index: u32) {
        self.produced.set(index + 1);
        self.bell.ring();
    }

    /// Ends the attempt.
    pub fn finish(&self, end: TrackEnd, now: TimePoint) {
        self.end.set((end, now));
        self.bell.ring();
    }

    /// Whether it goes on.
    pub fn is_running(&self) -> bool {
        self.end.get().0 == TrackEnd::Running
    }

    /// The event of one token.
    pub fn event(&self, index: u32) -> SseEvent {
        self.event_of(self.key, self.nonce, index)
    }

    /// The token as an attempt that was fenced off would have it: other number, other nonce.
    pub fn crossed_event(&self, index: u32) -> SseEvent {
        let mut key = self.key;
        key.attempt = key.attempt.next();
        self.event_of(key, !self.nonce, index)
    }

    /// The token as it would belong to another generation.
    pub fn stray_event(&self, index: u32) -> SseEvent {
        let mut key = self.key;
        key.generation = GenerationId(!key.generation.0);
        self.event_of(key, !self.nonce, index)
    }

    fn event_of(&self, key: AttemptKey, nonce: u16, index: u32) -> SseEvent {
        let value = json!({
            "generation": key.generation.to_string(),
            "attempt": key.attempt,
            "index": index,
            "token": format!("{nonce:04x}-{:08x}-{index} ", self.tag),
        });
        SseEvent::new(None, value.to_string())
    }
}

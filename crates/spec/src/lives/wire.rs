//! The connection to the source: what it carries, and what has been read of it.
//!
//! A node that is behind, or whose link is full, reads data later than answers, which come on other
//! connections. The end of a connection comes after its data.

use life::LifeInput;

use super::runner::RunnerPower;
use super::world::{LENGTH, LifeWorld};

/// What a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum WireData {
    Event(u8),
    /// The end of the whole stream.
    End,
    /// The end of the connection before that.
    Loss,
}

/// Data on its way, and the step of time in which it can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct WireItem {
    pub(super) data: WireData,
    pub(super) due: u8,
}

impl LifeWorld {
    fn put(&mut self, data: WireData) {
        self.wire.push(WireItem { data, due: self.tick + self.behind });
    }

    /// Puts on the wire what the source has made, and its end.
    pub(super) fn write_wire(&mut self) {
        while let Some(reading) = self.reading.filter(|reading| !reading.is_over) {
            let runner = &self.runners[reading.runner];
            let is_through_node = reading.is_through_node;
            let is_cut = if is_through_node { !self.is_node_up } else { runner.is_cut_off };
            if is_cut && !is_through_node {
                return;
            }
            let run = runner.run.filter(|run| run.reader == reading.reader);
            let Some(run) = run.filter(|_| !is_cut && runner.power == RunnerPower::On) else {
                let is_silent = !runner.answers_here() && runner.power == RunnerPower::On;
                if !is_silent || is_through_node {
                    self.end_reading(WireData::Loss);
                }
                return;
            };
            let is_heard = if is_through_node { runner.answers() } else { runner.answers_here() };
            if !is_heard || reading.read == run.made && run.made < LENGTH {
                return;
            }
            if reading.read == LENGTH {
                self.runners[reading.runner].run = None;
                self.end_reading(WireData::End);
                return;
            }
            let event = reading.read + 1;
            if let Some(reading) = &mut self.reading {
                reading.read = event;
            }
            self.put(WireData::Event(event));
        }
    }

    fn end_reading(&mut self, data: WireData) {
        if let Some(reading) = &mut self.reading {
            reading.is_over = true;
        }
        self.put(data);
    }

    /// Reads what has arrived.
    pub(super) fn read_wire(&mut self) {
        while let Some(item) = self.wire.first().copied().filter(|item| item.due <= self.tick) {
            if self.life.end().is_some() {
                return;
            }
            self.wire.remove(0);
            match item.data {
                WireData::Event(event) => {
                    let total = self.total_events(event);
                    self.give(&LifeInput::Events(Some(total)), event);
                }
                WireData::End => {
                    self.reading = None;
                    self.give(&LifeInput::SourceEnded, 0);
                }
                WireData::Loss => {
                    self.reading = None;
                    self.give(&LifeInput::SourceLost, 0);
                }
            }
        }
    }

    /// Whether the end of the whole stream is on its way.
    pub(super) fn carries_end(&self) -> bool {
        self.wire.iter().any(|item| item.data == WireData::End)
    }
}

//! The connection to the source: what it carries, and what has been read of it.
//!
//! A node that is behind, or whose link is full, reads data later than answers, which come on other
//! connections. The end of a connection comes after its data.

use life::LifeInput;

use super::runner::{RunStage, RunnerPower};
use super::world::{LENGTH, LifeWorld, WorldReading};

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
        let held = self.reading.map_or(0, |reading| self.held_ticks(reading));
        self.wire.push(WireItem { data, due: self.tick + self.behind.max(held) });
    }

    /// Steps for which what the source writes is held back on its link.
    fn held_ticks(&self, reading: WorldReading) -> u8 {
        let is_held = self.left.has_held_links && !reading.is_through_node;
        if is_held { self.runners[reading.runner].silent_here } else { 0 }
    }

    /// Whether the source writes what it has made: to a link that holds it back, too.
    fn is_written(&self, reading: WorldReading) -> bool {
        let runner = &self.runners[reading.runner];
        let is_written = reading.is_through_node || self.held_ticks(reading) > 0;
        if is_written { runner.answers() } else { runner.answers_here() }
    }

    /// Ends a run whole at its runner. Its copies are of no use from then on.
    fn end_run(&mut self, number: usize) {
        self.runners[number].run = None;
        if self.left.has_held_links {
            self.stage = RunStage::Ended;
            self.runners.iter_mut().for_each(|runner| runner.has_memory = false);
        }
    }

    /// Switches a runner off. What its link holds back is lost, and the connection ends.
    pub(super) fn lose_runner(&mut self, number: usize) {
        let source = self.reading.filter(|reading| reading.runner == number);
        let held = source.map_or(0, |reading| self.held_ticks(reading));
        self.runners[number].switch_off();
        if held > 0 {
            let arrived = self.tick + self.behind;
            self.wire.retain(|item| item.due <= arrived);
            self.reading.iter_mut().for_each(|reading| reading.is_over = false);
        }
    }

    /// Puts on the wire what the source has made, and its end.
    pub(super) fn write_wire(&mut self) {
        while let Some(reading) = self.reading.filter(|reading| !reading.is_over) {
            let runner = &self.runners[reading.runner];
            let is_through_node = reading.is_through_node;
            let is_cut = if is_through_node { !self.is_node_up } else { runner.is_cut_off };
            if is_cut && !is_through_node {
                let is_over = runner.run.is_some_and(|run| run.made == LENGTH);
                if self.left.has_held_links && is_over {
                    self.end_run(reading.runner);
                }
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
            if !self.is_written(reading) || reading.read == run.made && run.made < LENGTH {
                return;
            }
            if reading.read == LENGTH {
                self.end_run(reading.runner);
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

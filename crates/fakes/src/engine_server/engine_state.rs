//! What the engine's loop, its streams and its calls share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::prelude::*;
use kernel::MonotonicClock;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use web::ConnectionCloser;

use crate::ChangeBell;
use crate::engine::{AttemptKey, EngineModel};
use crate::engine_server::engine_fault::FaultState;
use crate::engine_server::{
    AttemptStats, EngineStats, GenerationTrack, ModelTable, ReportLine, ServerSettings, TrackEnd,
};

/// Shared state of one engine's stand-in.
pub struct EngineState {
    pub clock: MonotonicClock,
    pub settings: ServerSettings,
    pub model: RefCell<EngineModel>,
    pub tracks: RefCell<BTreeMap<AttemptKey, Rc<GenerationTrack>>>,
    pub table: RefCell<ModelTable>,
    pub line: RefCell<ReportLine>,
    pub stats: RefCell<EngineStats>,
    pub faults: FaultState,
    /// Rings when there is work for the loop.
    pub work: ChangeBell,
    random: RefCell<StdRng>,
    streams: RefCell<BTreeMap<u64, ConnectionCloser>>,
    last_stream: Cell<u64>,
}

impl EngineState {
    pub fn new(settings: ServerSettings) -> Self {
        let mut model = EngineModel::new(
            settings.runner.clone(),
            settings.incarnation,
            settings.engine.clone(),
        );
        model.set_leaving(settings.leaving);
        Self {
            clock: MonotonicClock::new(),
            model: RefCell::new(model),
            tracks: RefCell::default(),
            table: RefCell::new(ModelTable::new(&settings.models)),
            line: RefCell::default(),
            stats: RefCell::default(),
            faults: FaultState::default(),
            work: ChangeBell::default(),
            random: RefCell::new(StdRng::seed_from_u64(settings.seed)),
            streams: RefCell::default(),
            last_stream: Cell::default(),
            settings,
        }
    }

    pub fn draw_nonce(&self) -> u16 {
        self.random.borrow_mut().random()
    }

    /// Whether chance loses the next cache event.
    pub fn draw_loss(&self) -> bool {
        self.random.borrow_mut().random_bool(self.settings.cache_event_loss.clamp(0.0, 1.0))
    }

    pub fn add_stream(&self, closer: ConnectionCloser) -> u64 {
        let stream = self.last_stream.get() + 1;
        self.last_stream.set(stream);
        self.streams.borrow_mut().insert(stream, closer);
        stream
    }

    pub fn remove_stream(&self, stream: u64) {
        self.streams.borrow_mut().remove(&stream);
    }

    pub fn kill_streams(&self) {
        for closer in self.streams.borrow().values() {
            closer.close();
        }
    }

    /// The engine's present figures.
    pub fn present_report(&self) -> RunnerReport {
        let table = self.table.borrow();
        let mut report = self.model.borrow_mut().report();
        report.models = table.loaded.iter().cloned().collect();
        report.fence = table.fence;
        report
    }

    /// Drops an attempt, if it goes on, and frees what it holds.
    pub fn drop_track(&self, track: &GenerationTrack, note: impl FnOnce(&mut AttemptStats)) {
        if !track.is_running() {
            return;
        }
        self.model.borrow_mut().cancel(track.key);
        track.finish(TrackEnd::Dropped, self.clock.now());
        self.note(track, note);
    }

    /// Writes an attempt's figures into the statistics.
    pub fn note(&self, track: &GenerationTrack, note: impl FnOnce(&mut AttemptStats)) {
        let mut stats = self.stats.borrow_mut();
        let generation = stats.generations.entry(track.key.generation.to_string()).or_default();
        let attempt = generation.entry(track.key.attempt.0).or_default();
        attempt.produced = track.produced.get();
        note(attempt);
    }
}

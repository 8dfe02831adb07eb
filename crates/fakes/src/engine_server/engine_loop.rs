//! The loops of an engine: steps, reports, and dropping what nobody reads.

use std::rc::{Rc, Weak};

use base::{TimePoint, TimeSpan};
use kernel::sleep;

use crate::engine::StepResult;
use crate::engine_server::{EngineState, GenerationTrack, TrackEnd};

/// How often a report is taken.
const REPORT_PERIOD: TimeSpan = TimeSpan::millis(10);
/// How far steps may run behind the clock before they skip ahead.
const CATCH_UP_LIMIT: TimeSpan = TimeSpan::millis(100);

/// Steps the engine until the state's owner is gone.
pub async fn run_steps(state: Weak<EngineState>) {
    let mut begin = TimePoint::default();
    loop {
        let Some(engine) = state.upgrade() else { return };
        let rung = engine.work.rung();
        if engine.model.borrow().is_idle() {
            let (work, clock) = (engine.work.clone(), engine.clock);
            drop(engine);
            work.wait_past(rung).await;
            begin = clock.now();
            continue;
        }
        begin = begin.max(engine.clock.now() - CATCH_UP_LIMIT);
        let result = engine.model.borrow_mut().step(begin);
        let duration = TimeSpan((result.duration.0 as f64 / engine.settings.speed) as u64);
        begin = begin + duration;
        sleep(begin.since(engine.clock.now()).into()).await;
        deliver(&engine, &result);
    }
}

/// Takes reports and drops what nobody reads until the state's owner is gone.
pub async fn run_reports(state: Weak<EngineState>) {
    while let Some(engine) = state.upgrade() {
        let now = engine.clock.now();
        let report = engine.present_report();
        engine.line.borrow_mut().put_report(now, engine.settings.report_lag, report);
        drop_unread(&engine, now);
        drop(engine);
        sleep(REPORT_PERIOD.into()).await;
    }
}

fn deliver(engine: &EngineState, result: &StepResult) {
    let now = engine.clock.now();
    for token in &result.tokens {
        let track = engine.tracks.borrow().get(&token.key).map(Rc::clone);
        let Some(track) = track.filter(|track| track.is_running()) else { continue };
        track.produce(token.index.0);
        if token.last {
            track.finish(TrackEnd::Finished, now);
        }
        engine.note(&track, |attempt| attempt.finished = token.last);
    }
    for event in engine.model.borrow_mut().take_cache_events() {
        if !engine.draw_loss() {
            let lag = engine.settings.cache_event_lag;
            engine.line.borrow_mut().put_event(now, lag, event);
        }
    }
}

fn drop_unread(engine: &EngineState, now: TimePoint) {
    let tracks: Vec<Rc<GenerationTrack>> = engine.tracks.borrow().values().cloned().collect();
    for track in tracks {
        let (end, since) = track.end.get();
        if end != TrackEnd::Running {
            if now.since(since) > engine.settings.keep_span && track.readers.get() == 0 {
                engine.tracks.borrow_mut().remove(&track.key);
            }
        } else if track.readers.get() == 0
            && now.since(track.reader_left.get()) > engine.settings.reader_grace
        {
            engine.drop_track(&track, |attempt| attempt.abandoned = true);
        }
    }
}

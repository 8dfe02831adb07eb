//! The engine's calls.

use std::rc::Rc;

use base::{TimeSpan, prelude::*};
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use kernel::spawn;
use serde::de::DeserializeOwned;
use serde_json::json;
use web::{ConnectionCloser, WebRequest, WebResponse, fetch, read_bounded};

use crate::engine::{AdmitError, AttemptKey};
use crate::engine_server::engine_loop::{run_reports, run_steps};
use crate::engine_server::engine_refusal::Result;
use crate::engine_server::token_stream::stream_reply;
use crate::engine_server::{
    CompletionBody, EngineFault, EngineRefusal, EngineState, EngineStats, GenerationTrack,
    ModelOrder, OrderStats, PromptSpec, ServerSettings, TrackEnd,
};
use crate::reply::{MAX_BODY_BYTES, error_reply, no_route, ok_reply, query_value};

/// Longest time for one transfer of weights.
const TRANSFER_LIMIT: TimeSpan = TimeSpan::seconds(120);

/// A model engine; clones share it, and its loops end with the last one.
#[derive(Clone)]
pub struct EngineFake {
    state: Rc<EngineState>,
}

impl EngineFake {
    /// Starts an idle engine on the current loop.
    #[must_use]
    pub fn start(settings: ServerSettings) -> Self {
        let state = Rc::new(EngineState::new(settings));
        spawn(run_steps(Rc::downgrade(&state))).detach();
        spawn(run_reports(Rc::downgrade(&state))).detach();
        Self { state }
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: EngineFault) {
        let state = &self.state;
        match fault {
            EngineFault::Slow(factor) => state.model.borrow_mut().set_slow_factor(factor),
            EngineFault::FreezeReports(on) => state.faults.reports_frozen.set(on),
            EngineFault::Leaving(on) => state.model.borrow_mut().set_leaving(on),
            EngineFault::KillStreams(true) => state.kill_streams(),
            EngineFault::KillStreams(false) => (),
            EngineFault::StallMs(millis) => {
                state.faults.stall_until.set(state.clock.now() + TimeSpan::millis(millis));
            }
            EngineFault::Duplicate(count) => state.faults.duplicates.set(count),
            EngineFault::Exit(code) => std::process::exit(code),
        }
    }

    /// What it has done so far.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        let model = self.state.model.borrow();
        let mut stats = self.state.stats.borrow().clone();
        stats.preemptions = model.preemptions();
        stats.recomputed = model.recomputed();
        stats
    }

    /// Answers one request.
    pub async fn handle(self, request: WebRequest) -> WebResponse {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let answer = match (&method, path.as_str()) {
            (&Method::POST, "/v1/completions") => self.serve_completion(request).await,
            (&Method::POST, "/orders") => self.serve_order(request).await,
            (&Method::POST, "/fault") => self.serve_fault(request).await,
            (&Method::GET, "/load") => return self.report(),
            (&Method::GET, "/stats") => return ok_reply(&self.stats()),
            (&Method::GET, "/cache-events") => return self.cache_events(&request),
            _ => match (&method, parse_key(&path)) {
                (&Method::GET, Some(key)) => self.resume(key, &request),
                (&Method::DELETE, Some(key)) => self.cancel(key),
                _ => return no_route(&method, &path),
            },
        };
        answer.unwrap_or_else(|refusal| refusal.reply())
    }

    async fn serve_fault(&self, request: WebRequest) -> Result<WebResponse> {
        self.set_fault(parse_body(request).await?);
        Ok(ok_reply(&json!({})))
    }

    async fn serve_order(&self, request: WebRequest) -> Result<WebResponse> {
        self.order(&parse_body(request).await?)
    }

    async fn serve_completion(&self, request: WebRequest) -> Result<WebResponse> {
        let closer = ConnectionCloser::from_request(&request);
        let body: CompletionBody = parse_body(request).await?;
        let malformed = || EngineRefusal::Malformed("generation is not hexadecimal".to_owned());
        let key = body.key().ok_or_else(malformed)?;
        if !body.prefix.is_empty() && body.nonce().is_none() {
            return Err(EngineRefusal::ForeignPrefix);
        }
        let track = self.admit(&body, key)?;
        Ok(stream_reply(&self.state, track, body.prefix.len() as u32, closer))
    }

    fn admit(&self, body: &CompletionBody, key: AttemptKey) -> Result<Rc<GenerationTrack>> {
        let state = &self.state;
        if !state.table.borrow().loaded.contains(&body.model) {
            return Err(EngineRefusal::ModelMissing);
        }
        if state.tracks.borrow().contains_key(&key) {
            return Err(AdmitError::Duplicate.into());
        }
        if state.model.borrow_mut().report().waiting as usize >= state.settings.waiting_limit {
            return Err(EngineRefusal::QueueFull);
        }
        let spec = PromptSpec::new(&body.prompt);
        let request = body.engine_request(key, spec);
        let (prefix, length) = (request.produced.0, request.length.0);
        // A prefix that is the whole output leaves nothing to run.
        let whole = prefix >= length;
        if !whole {
            state.model.borrow_mut().admit(request)?;
        }
        let mark = (body.nonce().unwrap_or_else(|| state.draw_nonce()), spec.tag);
        let track = Rc::new(GenerationTrack::new(key, body.model.clone(), prefix, length, mark));
        if whole {
            track.finish(TrackEnd::Finished, state.clock.now());
        }
        state.tracks.borrow_mut().insert(key, Rc::clone(&track));
        state.note(&track, |attempt| {
            attempt.continued_from = prefix;
            attempt.finished = whole;
        });
        state.work.ring();
        Ok(track)
    }

    fn resume(&self, key: AttemptKey, request: &WebRequest) -> Result<WebResponse> {
        let from = query_value(request.uri().query().unwrap_or(""), "from").unwrap_or(0);
        let track = self.track(key)?;
        if from > track.produced.get() {
            return Err(EngineRefusal::PastNewest);
        }
        Ok(stream_reply(&self.state, track, from, ConnectionCloser::from_request(request)))
    }

    fn cancel(&self, key: AttemptKey) -> Result<WebResponse> {
        let track = self.track(key)?;
        self.state.drop_track(&track, |attempt| attempt.cancelled = true);
        self.state.tracks.borrow_mut().remove(&key);
        Ok(ok_reply(&json!({ "produced": track.produced.get() })))
    }

    fn track(&self, key: AttemptKey) -> Result<Rc<GenerationTrack>> {
        self.state.tracks.borrow().get(&key).cloned().ok_or(EngineRefusal::Unknown)
    }

    fn report(&self) -> WebResponse {
        let state = &self.state;
        let frozen = state.faults.reports_frozen.get();
        let now = state.clock.now();
        let visible = state.line.borrow_mut().report(now, frozen);
        match visible {
            Some(report) => ok_reply(&report),
            None => error_reply(StatusCode::SERVICE_UNAVAILABLE, "no report yet"),
        }
    }

    fn cache_events(&self, request: &WebRequest) -> WebResponse {
        let from = query_value(request.uri().query().unwrap_or(""), "from").unwrap_or(0);
        let now = self.state.clock.now();
        ok_reply(&self.state.line.borrow_mut().events(now, from))
    }

    fn order(&self, order: &ModelOrder) -> Result<WebResponse> {
        let state = &self.state;
        let old = order.fence < state.table.borrow().fence;
        let accepted = !(state.settings.checks_fencing && old);
        state.stats.borrow_mut().orders.push(OrderStats {
            fence: order.fence,
            at_ms: state.clock.now().since(TimePoint::default()).as_millis(),
            models: order.models.clone(),
            accepted,
        });
        if !accepted {
            return Err(EngineRefusal::OldFence);
        }
        let (missing, unwanted) = state.table.borrow_mut().order(order);
        for model in missing {
            self.start_load(model);
        }
        self.drop_generations(&unwanted);
        let table = state.table.borrow();
        Ok(ok_reply(&json!({
            "fence": table.fence, "models": table.loaded, "loading": table.loading,
        })))
    }

    fn start_load(&self, model: ModelName) {
        let Some(peer) = self.state.settings.weights else {
            self.state.table.borrow_mut().end_load(&model, true);
            return;
        };
        let engine = self.clone();
        spawn(async move {
            let path = format!("/weights/{model}");
            let outcome =
                fetch("weights", Method::GET, peer, &path, Bytes::new(), TRANSFER_LIMIT).await;
            engine.state.table.borrow_mut().end_load(&model, outcome.is_ok());
            let mut stats = engine.state.stats.borrow_mut();
            match outcome {
                Ok(_) => *stats.weight_loads.entry(model.to_string()).or_default() += 1,
                Err(_) => stats.weight_failures += 1,
            }
        })
        .detach();
    }

    fn drop_generations(&self, models: &[ModelName]) {
        let tracks: Vec<_> = self.state.tracks.borrow().values().cloned().collect();
        for track in tracks.iter().filter(|t| t.is_running() && models.contains(&t.model)) {
            self.state.stats.borrow_mut().unload_losses += 1;
            self.state.drop_track(track, |_| ());
        }
    }
}

async fn parse_body<T: DeserializeOwned>(request: WebRequest) -> Result<T> {
    let malformed = |error: &dyn std::fmt::Display| EngineRefusal::Malformed(error.to_string());
    let body = read_bounded("request body", request.into_body(), MAX_BODY_BYTES).await;
    let bytes = body.map_err(|error| malformed(&error))?;
    serde_json::from_slice(&bytes).map_err(|error| malformed(&error))
}

fn parse_key(path: &str) -> Option<AttemptKey> {
    let (generation, attempt) = path.strip_prefix("/v1/generations/")?.split_once('/')?;
    Some(AttemptKey { generation: generation.parse().ok()?, attempt: attempt.parse().ok()? })
}

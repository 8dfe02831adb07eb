//! One reader's stream of token events.

use std::rc::Rc;

use base::TimePoint;
use futures_util::stream;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use kernel::sleep;
use web::{ConnectionCloser, SseEvent, WebResponse, stream_body};

use crate::engine_server::{EngineState, GenerationTrack, TrackEnd};

/// Data of the last event of a whole stream.
const DONE: &str = "[DONE]";

/// A reader; its drop is its leaving.
struct TokenReader {
    state: Rc<EngineState>,
    track: Rc<GenerationTrack>,
    stream: u64,
    next: u32,
    done: bool,
}

/// The answer that streams `track` from index `from`.
pub fn stream_reply(
    state: &Rc<EngineState>,
    track: Rc<GenerationTrack>,
    from: u32,
    closer: ConnectionCloser,
) -> WebResponse {
    let reader = TokenReader::new(Rc::clone(state), track, from, closer);
    let chunks = stream::unfold(reader, |mut reader| async move {
        let chunk = reader.next_chunk().await?;
        Some((chunk, reader))
    });
    let mut response = WebResponse::new(stream_body(chunks));
    *response.status_mut() = StatusCode::OK;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    response
}

impl TokenReader {
    fn new(
        state: Rc<EngineState>,
        track: Rc<GenerationTrack>,
        from: u32,
        closer: ConnectionCloser,
    ) -> Self {
        track.readers.set(track.readers.get() + 1);
        let stream = state.add_stream(closer);
        Self { state, track, stream, next: from, done: false }
    }

    async fn next_chunk(&mut self) -> Option<Bytes> {
        loop {
            let rung = self.track.bell.rung();
            self.wait_stall().await;
            if self.next < self.track.produced.get() {
                return Some(self.encode_ready());
            }
            match self.track.end.get().0 {
                TrackEnd::Finished if !self.done => {
                    self.done = true;
                    return Some(SseEvent::new(None, DONE.to_owned()).encode());
                }
                TrackEnd::Running => self.track.bell.wait_past(rung).await,
                TrackEnd::Finished | TrackEnd::Dropped => return None,
            }
        }
    }

    async fn wait_stall(&self) {
        loop {
            let until: TimePoint = self.state.faults.stall_until.get();
            let now = self.state.clock.now();
            if now >= until {
                return;
            }
            sleep(until.since(now).into()).await;
        }
    }

    fn encode_ready(&mut self) -> Bytes {
        let mut bytes = Vec::new();
        while self.next < self.track.produced.get() {
            for event in self.events(self.next) {
                bytes.extend_from_slice(&event.encode());
            }
            self.next += 1;
        }
        Bytes::from(bytes)
    }

    fn events(&self, index: u32) -> Vec<SseEvent> {
        let track = &self.track;
        if !self.state.faults.take_duplicate() {
            return vec![track.event(index)];
        }
        let mut events = vec![track.crossed_event(index), track.stray_event(index)];
        if index + 1 < track.length {
            events.push(track.event(index + 1));
        }
        events.extend([track.event(index), track.event(index)]);
        if index > 0 {
            events.push(track.event(index - 1));
        }
        events
    }
}

impl Drop for TokenReader {
    fn drop(&mut self) {
        self.state.remove_stream(self.stream);
        self.track.readers.set(self.track.readers.get() - 1);
        self.track.reader_left.set(self.state.clock.now());
    }
}

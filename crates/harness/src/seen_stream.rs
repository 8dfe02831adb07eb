//! A stream as its caller sees it.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;

/// What a caller saw of a stream.
#[derive(Debug)]
pub struct SeenStream {
    /// Ids of its events, in the order in which they came.
    pub ids: Vec<u64>,
    /// Whether the body came to its end.
    pub is_whole: bool,
    /// Longest time without any data, from the response head on.
    pub longest_pause: Duration,
}

impl SeenStream {
    /// Reads the body of `response` to its end, or until it breaks off.
    pub async fn read(response: Response<Incoming>) -> Self {
        let mut body = response.into_body();
        let (mut text, mut is_whole) = (String::new(), true);
        let (mut last, mut longest_pause) = (Instant::now(), Duration::ZERO);
        while let Some(frame) = body.frame().await {
            longest_pause = longest_pause.max(last.elapsed());
            last = Instant::now();
            let Ok(frame) = frame else {
                is_whole = false;
                break;
            };
            text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or_default()));
        }
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        Self { ids: ids.collect(), is_whole, longest_pause }
    }

    /// Whether events 1 to `count` came, each once and in order, and the end of the body.
    #[must_use]
    pub fn has_all(&self, count: u64) -> bool {
        self.is_whole && self.ids.iter().copied().eq(1..=count)
    }
}

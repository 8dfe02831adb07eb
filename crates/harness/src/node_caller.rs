//! What callers of nodes send and get.

use hyper::Method;

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Id of the attempt.
    pub attempt: String,
    /// Further headers; these replace the usual ones.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// A lookup: it may be repeated.
    #[must_use]
    pub fn lookup(attempt: &str) -> Self {
        Self::new(Method::GET, "/look/ticket", attempt)
    }

    /// A booking: it runs at most once.
    #[must_use]
    pub fn booking(attempt: &str) -> Self {
        let mut request = Self::new(Method::POST, "/book/job", attempt);
        request.body = b"{\"job\":\"resole\"}".to_vec();
        request
    }

    /// A generation.
    #[must_use]
    pub fn stream(attempt: &str) -> Self {
        let mut request = Self::new(Method::POST, "/digest/long", attempt);
        request.headers.push(("x-dotterelyard-model", "m".to_owned()));
        request.headers.push(("x-dotterelyard-token-count", "1000,400".to_owned()));
        request.body = b"a prompt".to_vec();
        request
    }

    fn new(method: Method, path: &str, attempt: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            attempt: attempt.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// The same with another header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// The body, as far as it came.
    pub text: String,
    /// The body came to its end.
    pub complete: bool,
}

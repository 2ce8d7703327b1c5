//! Caller's request, kept for retries.

use std::sync::Arc;

use http::request::Parts;
use http::{Request, Uri};
use hyper::body::{Body, Incoming};
use swiftcart_core::{BodyHash, Fingerprint};

use crate::calls::body::{BodyError, BodyLimits, BodySource, Gate, Outgoing};
use crate::calls::request::CallPrint;

/// Head and body source of a request, kept for all of its attempts.
#[derive(Debug)]
pub struct OriginalRequest {
    pub head: Parts,
    source: Option<Arc<BodySource>>,
    /// `true` if the body may be longer than the replay buffer.
    pub exceeds_buffer: bool,
}

impl OriginalRequest {
    /// Creates the original request, which keeps the first bytes of the body for retries.
    #[must_use]
    pub fn new(head: Parts, body: Option<Incoming>, limits: BodyLimits) -> Self {
        let kept = limits.keep_bytes as u64;
        let body = body.filter(|body| !body.is_end_stream());
        let is_long = |body: &Incoming| body.size_hint().upper().is_none_or(|n| n > kept);
        Self {
            head,
            exceeds_buffer: body.as_ref().is_some_and(is_long),
            source: body.map(|body| BodySource::new(body, limits)),
        }
    }

    /// Creates the request of one attempt. With a gate, the body waits until the gate opens.
    #[must_use]
    pub fn request(&self, gate: Option<Gate>) -> Request<Outgoing> {
        let body = match &self.source {
            Some(source) => source.start(gate),
            None => Outgoing::Empty,
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin(&self.head.uri);
        request.headers_mut().clone_from(&self.head.headers);
        request
    }

    /// Buffers up to `bytes` bytes of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, or has not arrived by the deadline.
    pub async fn fill(&self, bytes: usize) -> Result<(), BodyError> {
        match &self.source {
            Some(source) => source.fill(bytes).await,
            None => Ok(()),
        }
    }

    /// Returns the number of bytes that are kept, and the number of pieces that have arrived.
    #[must_use]
    pub fn kept(&self) -> (usize, usize) {
        let kept = |source: &Arc<BodySource>| source.kept();
        self.source.as_ref().map_or((0, 0), kept)
    }

    /// Returns the request's fingerprint, or `None` while the body is incomplete.
    #[must_use]
    pub fn print(&self, call: CallPrint) -> Option<Fingerprint> {
        let body = match &self.source {
            Some(source) => source.print()?,
            None => BodyHash::default(),
        };
        Some(call.with_body(body))
    }

    /// Returns `true` if the body is, or may be, longer than `bytes`.
    #[must_use]
    pub fn exceeds(&self, bytes: u64) -> bool {
        let longer = |source: &Arc<BodySource>| source.len_hint().is_none_or(|len| len > bytes);
        self.source.as_ref().is_some_and(longer)
    }

    /// Returns `true` if another attempt can send the whole body.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.source.as_ref().is_none_or(|source| source.is_whole())
    }
}

/// Returns the target in origin form, without scheme and authority.
fn origin(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::default(),
    }
}

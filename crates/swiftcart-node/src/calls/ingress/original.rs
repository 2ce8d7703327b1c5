//! A caller's request, kept for every try.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{Request, Uri};
use hyper::body::{Body, Incoming};
use swiftcart_core::{BodyPrint, Fingerprint};

use crate::calls::body::{BodyError, BodySource, Gate, Outgoing};
use crate::calls::request::CallPrint;

/// A request's head and where its body comes from, kept for every try.
#[derive(Debug)]
pub struct Original {
    pub head: Parts,
    source: Option<Arc<BodySource>>,
    /// Whether the body may be longer than what is kept of it.
    pub long: bool,
}

impl Original {
    /// Takes a caller's request apart.
    #[must_use]
    pub fn new(head: Parts, body: Option<Incoming>, room: u32, silence: Duration) -> Self {
        let room = room as usize;
        let body = body.filter(|body| !body.is_end_stream());
        let is_long = |body: &Incoming| body.size_hint().upper().is_none_or(|n| n > room as u64);
        Self {
            head,
            long: body.as_ref().is_some_and(is_long),
            source: body.map(|body| BodySource::new(body, room, silence)),
        }
    }

    /// Creates the request of one try; with a gate, its body waits for the peer.
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

    /// Reads the body ahead, up to `bytes` bytes or its end.
    ///
    /// # Errors
    ///
    /// Returns why the body ended early.
    pub async fn fill(&self, bytes: usize) -> Result<(), BodyError> {
        match &self.source {
            Some(source) => source.fill(bytes).await,
            None => Ok(()),
        }
    }

    /// Returns the request's fingerprint; `None` while its body is not here as a whole.
    #[must_use]
    pub fn print(&self, call: CallPrint) -> Option<Fingerprint> {
        let body = match &self.source {
            Some(source) => source.print()?,
            None => BodyPrint::default(),
        };
        Some(call.with_body(body))
    }

    /// Tells whether the body is longer than `bytes`, or may be.
    #[must_use]
    pub fn exceeds(&self, bytes: u64) -> bool {
        let longer = |source: &Arc<BodySource>| source.len_hint().is_none_or(|len| len > bytes);
        self.source.as_ref().is_some_and(longer)
    }

    /// Tells whether another try can send the whole body.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.source.as_ref().is_none_or(|source| source.is_whole())
    }
}

/// Returns the target without scheme and authority, as a server expects it.
fn origin(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::default(),
    }
}

//! HTTP pipelining: requests sent before earlier requests on the connection are answered.
//!
//! hyper processes the requests of a connection sequentially. A pipelined request would wait for
//! all requests before it, and a disconnect of the caller would go unnoticed behind the unread
//! bytes. The heads are therefore scanned as their bytes arrive. An idempotent request without a
//! body is started immediately. When hyper reads that request later, its response is complete or
//! in progress. hyper determines the order of the responses.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::BytesMut;
use http::header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Extensions, HeaderName, HeaderValue, Request, Response, Uri, Version};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::answer::Answer;

/// Maximum length of a scanned head, in bytes. Longer heads are left to hyper, since pipelined
/// requests are short.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Maximum number of header fields in a scanned head. Larger heads are left to hyper.
const MAX_HEAD_FIELDS: usize = 64;

/// Maximum number of pipelined requests in progress on one connection.
const MAX_PIPELINED: usize = 16;

/// Task that answers a pipelined request. Dropping the task cancels the request.
pub type ResponseTask = AbortOnDropHandle<Response<Answer>>;

/// Function that starts a request, or returns `None` if the request may not start early.
type Start = dyn Fn(&Parts) -> Option<ResponseTask> + Send + Sync;

/// Starter of pipelined requests.
#[derive(Clone)]
pub struct Starter(Arc<Start>);

/// Scanner of the heads on one connection, shared by the connection and its service.
#[derive(Debug, Clone)]
pub struct Pipeline {
    starter: Starter,
    origin: Extensions,
    state: Arc<Mutex<State>>,
    /// Notified when a request is taken or answered.
    changed: Arc<Notify>,
}

/// Numbers of requests on one connection.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests whose head has arrived.
    pub seen: u64,
    /// Requests that hyper has passed to the service.
    pub taken: u64,
    /// Requests whose response the service has returned.
    pub answered: u64,
}

#[derive(Debug, Default)]
struct State {
    position: ParsePosition,
    /// Bytes of an incomplete head.
    head: BytesMut,
    /// Number of heads seen on this connection.
    seen: u64,
    /// Number of requests that hyper has passed to the service.
    taken: u64,
    /// Number of requests whose response the service has returned.
    answered: u64,
    /// Time at which the service returned the last response.
    idle_since: Option<Instant>,
    /// Pipelined requests in progress, in the order of arrival.
    started: VecDeque<StartedRequest>,
}

/// Pipelined request that was started early.
#[derive(Debug)]
struct StartedRequest {
    number: u64,
    head: Parts,
    started: ResponseTask,
}

/// Position of the next byte in the request stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum ParsePosition {
    /// In a head.
    #[default]
    Head,
    /// In the body of the preceding request, with this number of bytes left.
    Body(u64),
    /// Unknown to the scanner. Scanning resumes when all requests seen so far are answered.
    Unsynchronized,
}

/// Result of scanning for a head.
enum ScanResult {
    Partial,
    Unsupported,
    Head {
        len: usize,
        body: u64,
        /// Parsed head, or `None` if the request has a body and cannot be started early.
        parts: Option<Box<Parts>>,
    },
}

impl Starter {
    /// Creates a starter that calls `start` for each request.
    #[must_use]
    pub fn new(start: impl Fn(&Parts) -> Option<ResponseTask> + Send + Sync + 'static) -> Self {
        Self(Arc::new(start))
    }
}

impl Pipeline {
    /// Creates the pipeline of one connection.
    #[must_use]
    pub fn new(starter: &Starter, origin: Extensions) -> Self {
        Self {
            starter: starter.clone(),
            origin,
            state: Arc::default(),
            changed: Arc::default(),
        }
    }

    /// Scans newly arrived bytes for heads and starts the requests that may run early.
    pub fn scan_bytes(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.position == ParsePosition::Unsynchronized && state.seen <= state.answered {
            state.position = ParsePosition::Head;
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match state.position {
                ParsePosition::Unsynchronized => return,
                ParsePosition::Body(left) => state.skip(left, rest),
                ParsePosition::Head => state.read_head(rest, &self.starter, &self.origin),
            };
        }
    }

    /// Returns the task of the next request from hyper, if that request was started early.
    ///
    /// The scanner and hyper may disagree after a body that the scanner cannot follow. The heads
    /// are therefore compared in full.
    #[must_use]
    pub fn take(&self, head: &Parts) -> Option<ResponseTask> {
        let mut state = self.lock();
        self.changed.notify_one();
        let number = state.taken;
        state.taken += 1;
        state.seen = state.seen.max(state.taken);
        let due = state
            .started
            .front()
            .is_some_and(|ahead| ahead.number <= number);
        let ahead = if due {
            state.started.pop_front()?
        } else {
            return None;
        };
        match ahead.number == number && is_same_head(&ahead.head, head) {
            true => Some(ahead.started),
            false => {
                state.started.clear();
                state.position = ParsePosition::Unsynchronized;
                None
            }
        }
    }

    /// Marks the most recently taken request as answered.
    pub fn answered(&self) {
        let mut state = self.lock();
        state.answered = state.taken;
        state.idle_since = Some(Instant::now());
        self.changed.notify_one();
    }

    /// Returns `true` if the caller has sent requests that hyper has not taken yet.
    #[must_use]
    pub fn has_more(&self) -> bool {
        let state = self.lock();
        state.seen > state.taken
    }

    /// Returns how many requests arrived, how many of them hyper has taken, and how many have an
    /// answer.
    #[must_use]
    pub fn counts(&self) -> RequestCounts {
        let state = self.lock();
        RequestCounts {
            seen: state.seen,
            taken: state.taken,
            answered: state.answered,
        }
    }

    /// Returns the heads of the requests that were started early and that hyper has not taken.
    #[must_use]
    pub fn untaken(&self) -> Vec<Parts> {
        let state = self.lock();
        state
            .started
            .iter()
            .map(|ahead| ahead.head.clone())
            .collect()
    }

    /// Waits until the connection has been idle for `time` after a response.
    pub async fn wait_idle(&self, time: Duration) {
        loop {
            let idle_since = {
                let state = self.lock();
                state.idle_since.filter(|_| state.answered == state.taken)
            };
            let changed = self.changed.notified();
            let Some(since) = idle_since else {
                changed.await;
                continue;
            };
            if timeout_at(since + time, changed).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Starter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Starter").finish_non_exhaustive()
    }
}

impl State {
    fn skip<'a>(&mut self, left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        self.position = match left - len as u64 {
            0 => ParsePosition::Head,
            left => ParsePosition::Body(left),
        };
        &bytes[len..]
    }

    fn read_head<'a>(
        &mut self,
        bytes: &'a [u8],
        starter: &Starter,
        origin: &Extensions,
    ) -> &'a [u8] {
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        match scan_head(&self.head) {
            ScanResult::Partial if self.head.len() <= MAX_HEAD_BYTES => &[],
            ScanResult::Partial | ScanResult::Unsupported => {
                self.position = ParsePosition::Unsynchronized;
                self.head = BytesMut::new();
                &[]
            }
            ScanResult::Head { len, body, parts } => {
                self.head = BytesMut::new();
                self.position = match body {
                    0 => ParsePosition::Head,
                    left => ParsePosition::Body(left),
                };
                let parts = parts.map(|mut parts| {
                    parts.extensions.extend(origin.clone());
                    parts
                });
                self.start(parts, starter);
                &bytes[len - before..]
            }
        }
    }

    /// Starts a request early if earlier requests are still unanswered.
    fn start(&mut self, head: Option<Box<Parts>>, starter: &Starter) {
        let number = self.seen;
        self.seen += 1;
        if number <= self.answered || self.started.len() >= MAX_PIPELINED {
            return;
        }
        let Some(head) = head else { return };
        if let Some(started) = (starter.0)(&head) {
            let head = *head;
            self.started.push_back(StartedRequest {
                number,
                head,
                started,
            });
        }
    }
}

fn is_same_head(a: &Parts, b: &Parts) -> bool {
    a.method == b.method && a.uri == b.uri && a.headers == b.headers
}

/// Scans `bytes`, which begin with a head.
fn scan_head(bytes: &[u8]) -> ScanResult {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => match body_length(&head) {
            Some(body) => ScanResult::Head {
                len,
                body,
                parts: (body == 0).then(|| to_parts(&head)).flatten().map(Box::new),
            },
            None => ScanResult::Unsupported,
        },
        Ok(httparse::Status::Partial) => ScanResult::Partial,
        Err(_) => ScanResult::Unsupported,
    }
}

/// Returns the length of the request's body, or `None` if the head does not determine it.
fn body_length(head: &httparse::Request<'_, '_>) -> Option<u64> {
    let mut length = None;
    for field in head.headers.iter() {
        let is = |name: &HeaderName| field.name.eq_ignore_ascii_case(name.as_str());
        match () {
            () if is(&TRANSFER_ENCODING) || is(&EXPECT) => return None,
            () if is(&CONTENT_LENGTH) && length.is_some() => return None,
            () if is(&CONTENT_LENGTH) => {
                let text = std::str::from_utf8(field.value).ok()?;
                length = Some(text.parse().ok()?);
            }
            () => {}
        }
    }
    Some(length.unwrap_or(0))
}

/// Converts the head to the form that hyper passes to the service.
fn to_parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse().ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *request.version_mut() = match head.version? {
        1 => Version::HTTP_11,
        _ => return None,
    };
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request.into_parts().0)
}

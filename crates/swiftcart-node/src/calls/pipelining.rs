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

use bytes::BytesMut;
use http::header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Extensions, HeaderName, HeaderValue, Request, Response, Uri, Version};
use swiftcart_core::HeadKind;
use tokio_util::task::AbortOnDropHandle;

use super::answer::Answer;
use super::serve::Lifetime;

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
pub struct Pipeline(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    starter: Starter,
    /// Extensions of each started request.
    origin: Extensions,
    lifetime: Lifetime,
    state: Mutex<State>,
}

/// Number of a request on its connection, in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestNumber(pub u64);

#[derive(Debug, Default)]
struct State {
    position: ParsePosition,
    /// Bytes of an incomplete head.
    head: BytesMut,
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
        kind: HeadKind,
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
    pub fn new(starter: &Starter, lifetime: &Lifetime, origin: Extensions) -> Self {
        Self(Arc::new(Inner {
            starter: starter.clone(),
            origin,
            lifetime: lifetime.clone(),
            state: Mutex::default(),
        }))
    }

    /// Scans newly arrived bytes for heads and starts the requests that may run early.
    pub fn scan_bytes(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.position == ParsePosition::Unsynchronized && self.0.lifetime.requests().owed() == 0
        {
            state.position = ParsePosition::Head;
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match state.position {
                ParsePosition::Unsynchronized => return,
                ParsePosition::Body(left) => state.skip(left, rest),
                ParsePosition::Head => state.read_head(rest, &self.0),
            };
        }
    }

    /// Returns the task of the request that hyper passes on, if that request was started early.
    ///
    /// The scanner and hyper may disagree after a body that the scanner cannot follow. The heads
    /// are therefore compared in full.
    #[must_use]
    pub fn take(&self, RequestNumber(number): RequestNumber, head: &Parts) -> Option<ResponseTask> {
        let mut state = self.lock();
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

    /// Returns the values of the header `name` in the requests that were started early and that
    /// hyper has not passed on.
    #[must_use]
    pub fn started(&self, name: &HeaderName) -> Vec<HeaderValue> {
        let state = self.lock();
        let heads = state.started.iter().map(|ahead| &ahead.head);
        heads
            .filter_map(|head| head.headers.get(name).cloned())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
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

    fn read_head<'a>(&mut self, bytes: &'a [u8], conn: &Inner) -> &'a [u8] {
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        match scan_head(&self.head) {
            ScanResult::Partial if self.head.len() <= MAX_HEAD_BYTES => {
                conn.lifetime.arrive_partly();
                &[]
            }
            ScanResult::Partial | ScanResult::Unsupported => {
                self.position = ParsePosition::Unsynchronized;
                self.head = BytesMut::new();
                &[]
            }
            ScanResult::Head {
                len,
                body,
                kind,
                parts,
            } => {
                self.head = BytesMut::new();
                self.position = match body {
                    0 => ParsePosition::Head,
                    left => ParsePosition::Body(left),
                };
                let arrived = conn.lifetime.arrive(kind).zip(parts);
                if let Some((number, parts)) = arrived {
                    self.start(number, *parts, conn);
                }
                &bytes[len - before..]
            }
        }
    }

    /// Starts a request early if earlier requests are still unanswered.
    fn start(&mut self, number: u64, mut head: Parts, conn: &Inner) {
        if !conn.lifetime.may_start(number) || self.started.len() >= MAX_PIPELINED {
            return;
        }
        head.extensions.extend(conn.origin.clone());
        if let Some(started) = (conn.starter.0)(&head) {
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
                kind: match body {
                    _ if is_last(&head) => HeadKind::Last,
                    0 => HeadKind::Plain,
                    _ => HeadKind::WithBody,
                },
                parts: (body == 0).then(|| to_parts(&head)).flatten().map(Box::new),
            },
            None => ScanResult::Unsupported,
        },
        Ok(httparse::Status::Partial) => ScanResult::Partial,
        Err(_) => ScanResult::Unsupported,
    }
}

/// Returns `true` if the caller announces that it sends no further request on the connection.
fn is_last(head: &httparse::Request<'_, '_>) -> bool {
    let names = |field: &&httparse::Header<'_>| field.name.eq_ignore_ascii_case("connection");
    let values = head.headers.iter().filter(names).map(|field| field.value);
    values
        .flat_map(|value| value.split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
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

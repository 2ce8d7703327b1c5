//! Requests that a caller sends ahead, before an earlier one on its connection is answered.
//!
//! hyper takes the requests of a connection one after the other. A caller that sends the
//! next one early would wait for all before it, and its departure would go unnoticed
//! behind its unread bytes. So the heads are looked at as their bytes arrive, and a request
//! without a body that may run more than once is started at once. hyper still reads it,
//! and then finds its answer made or under way; the order of the answers is hyper's.

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
use super::origin::Origin;

/// Heads longer than this are left to hyper; a request that is sent ahead is short.
const HEAD_BYTES: usize = 8 << 10;

/// Header fields that are looked at; a head with more is left to hyper.
const HEAD_FIELDS: usize = 64;

/// Requests of one connection that are under way ahead of their turn.
const MOST_PIPELINED: usize = 16;

/// An answer that is made ahead of its turn; dropping it ends the work.
pub type Started = AbortOnDropHandle<Response<Answer>>;

/// Starts a request, or returns `None` when it may not be started before its turn.
type Start = dyn Fn(&Parts) -> Option<Started> + Send + Sync;

/// Starts requests ahead of their turn.
#[derive(Clone)]
pub struct Starter(Arc<Start>);

/// Looks at the heads on one connection; the connection and its service share it.
#[derive(Debug, Clone)]
pub struct Pipeline {
    starter: Starter,
    origin: Option<Origin>,
    state: Arc<Mutex<State>>,
    /// Told when a request is taken or answered.
    moved: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    place: Place,
    /// The bytes of a head that has not arrived as a whole.
    head: BytesMut,
    /// Heads that were seen on this connection.
    seen: u64,
    /// Requests that hyper has handed to the service.
    taken: u64,
    /// Requests whose answer the service has returned.
    answered: u64,
    /// When it returned the last one.
    rested: Option<Instant>,
    /// The answers under way, in the order of their requests.
    started: VecDeque<Ahead>,
}

/// A request whose answer is under way ahead of its turn.
#[derive(Debug)]
struct Ahead {
    number: u64,
    head: Parts,
    started: Started,
}

/// What the next byte belongs to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// A head.
    #[default]
    Head,
    /// The body of the request before, with so many bytes left.
    Body(u64),
    /// Something that only hyper follows, until it has taken all that was sent.
    Lost,
}

/// What was found at the beginning of the bytes.
enum Found {
    Partial,
    Unclear,
    Head {
        len: usize,
        body: u64,
        /// What can be started; nothing with a body.
        parts: Option<Box<Parts>>,
    },
}

impl Starter {
    /// Starts requests by `start`.
    #[must_use]
    pub fn new(start: impl Fn(&Parts) -> Option<Started> + Send + Sync + 'static) -> Self {
        Self(Arc::new(start))
    }
}

impl Pipeline {
    /// Creates the pipeline of one connection.
    #[must_use]
    pub fn new(starter: &Starter, origin: Option<Origin>) -> Self {
        Self {
            starter: starter.clone(),
            origin,
            state: Arc::default(),
            moved: Arc::default(),
        }
    }

    /// Looks at bytes that have just arrived.
    pub fn scan_bytes(&self, bytes: &[u8]) {
        let mut state = self.lock();
        if state.place == Place::Lost && state.seen <= state.answered {
            state.place = Place::Head;
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match state.place {
                Place::Lost => return,
                Place::Body(left) => state.skip(left, rest),
                Place::Head => state.read_head(rest, &self.starter, self.origin),
            };
        }
    }

    /// Returns the answer to the request that hyper hands over next, when it was started.
    ///
    /// What was seen and what hyper read may differ after a body that is not followed here;
    /// so the whole head has to be the same.
    #[must_use]
    pub fn take(&self, head: &Parts) -> Option<Started> {
        let mut state = self.lock();
        self.moved.notify_one();
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
        match ahead.number == number && is_same(&ahead.head, head) {
            true => Some(ahead.started),
            false => {
                state.started.clear();
                state.place = Place::Lost;
                None
            }
        }
    }

    /// Notes that the request taken last has its answer.
    pub fn answered(&self) {
        let mut state = self.lock();
        state.answered = state.taken;
        state.rested = Some(Instant::now());
        self.moved.notify_one();
    }

    /// Tells whether the caller has sent more than hyper has taken.
    #[must_use]
    pub fn has_more(&self) -> bool {
        let state = self.lock();
        state.seen > state.taken
    }

    /// Waits until the connection was unused for `time` after an answer.
    pub async fn unused(&self, time: Duration) {
        loop {
            let rested = {
                let state = self.lock();
                state.rested.filter(|_| state.answered == state.taken)
            };
            let moved = self.moved.notified();
            let Some(since) = rested else {
                moved.await;
                continue;
            };
            if timeout_at(since + time, moved).await.is_err() {
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
        self.place = match left - len as u64 {
            0 => Place::Head,
            left => Place::Body(left),
        };
        &bytes[len..]
    }

    fn read_head<'a>(
        &mut self,
        bytes: &'a [u8],
        starter: &Starter,
        origin: Option<Origin>,
    ) -> &'a [u8] {
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        match find(&self.head) {
            Found::Partial if self.head.len() <= HEAD_BYTES => &[],
            Found::Partial | Found::Unclear => {
                self.place = Place::Lost;
                self.head = BytesMut::new();
                &[]
            }
            Found::Head { len, body, parts } => {
                self.head = BytesMut::new();
                self.place = match body {
                    0 => Place::Head,
                    left => Place::Body(left),
                };
                let parts = parts.map(|mut parts| {
                    parts
                        .extensions
                        .extend(origin.map(noted).unwrap_or_default());
                    parts
                });
                self.start(parts, starter);
                &bytes[len - before..]
            }
        }
    }

    /// Starts a request that waits for the answer to another one.
    fn start(&mut self, head: Option<Box<Parts>>, starter: &Starter) {
        let number = self.seen;
        self.seen += 1;
        if number <= self.answered || self.started.len() >= MOST_PIPELINED {
            return;
        }
        let Some(head) = head else { return };
        if let Some(started) = (starter.0)(&head) {
            let head = *head;
            self.started.push_back(Ahead {
                number,
                head,
                started,
            });
        }
    }
}

fn noted(origin: Origin) -> Extensions {
    let mut extensions = Extensions::new();
    extensions.insert(origin);
    extensions
}

fn is_same(a: &Parts, b: &Parts) -> bool {
    a.method == b.method && a.uri == b.uri && a.headers == b.headers
}

/// Reads the head at the beginning of `bytes`.
fn find(bytes: &[u8]) -> Found {
    let mut fields = [httparse::EMPTY_HEADER; HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => match body(&head) {
            Some(body) => Found::Head {
                len,
                body,
                parts: (body == 0).then(|| parts(&head)).flatten().map(Box::new),
            },
            None => Found::Unclear,
        },
        Ok(httparse::Status::Partial) => Found::Partial,
        Err(_) => Found::Unclear,
    }
}

/// Returns the length of the request's body, when its head tells it.
fn body(head: &httparse::Request<'_, '_>) -> Option<u64> {
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

/// Returns the head as hyper would hand it over.
fn parts(head: &httparse::Request<'_, '_>) -> Option<Parts> {
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

//! HTTP pipelining: requests sent before earlier requests on the connection are answered.
//!
//! hyper processes the requests of a connection sequentially. A pipelined request would wait for
//! all requests before it, and a disconnect of the caller would go unnoticed behind the unread
//! bytes. The heads are therefore read as their bytes arrive. An idempotent request without a body
//! is started immediately. When hyper reads that request later, its response is complete or in
//! progress. hyper determines the order of the responses.
//!
//! Only [`RequestFraming`] says where a head begins. Once it does not know its position, no further
//! request on the connection is started early.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::request::Parts;
use http::{Extensions, HeaderName, HeaderValue, Request, Response, Uri, Version};
use swiftcart_core::RequestFraming;
use tokio::sync::oneshot;
use tokio_util::task::AbortOnDropHandle;

use super::answer::Answer;
use super::lifetime::{Lifetime, RequestNumber};

/// Maximum number of header fields of a request that starts early.
const MAX_HEAD_FIELDS: usize = 64;

/// Maximum number of pipelined requests in progress on one connection.
const MAX_PIPELINED: usize = 16;

/// Task that answers a pipelined request. Dropping the task cancels the request.
pub type ResponseTask = AbortOnDropHandle<Response<Answer>>;

/// Function that starts a request, or returns `None` if the request may not start early.
type Start = dyn Fn(&Parts, Turn) -> Option<ResponseTask> + Send + Sync;

/// Signal that all responses ahead of a request have been sent.
///
/// A response that waits for its turn is not passed on, so its task keeps its end in time.
pub type Turn = oneshot::Receiver<()>;

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

#[derive(Debug, Default)]
struct State {
    framing: RequestFraming,
    /// Pipelined requests in progress, in the order of arrival.
    started: VecDeque<StartedRequest>,
}

/// Pipelined request that was started early.
#[derive(Debug)]
struct StartedRequest {
    number: u64,
    head: Parts,
    started: ResponseTask,
    turn: oneshot::Sender<()>,
}

impl Starter {
    /// Creates a starter that calls `start` for each request.
    #[must_use]
    pub fn new(
        start: impl Fn(&Parts, Turn) -> Option<ResponseTask> + Send + Sync + 'static,
    ) -> Self {
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

    /// Reads the heads in newly arrived bytes and starts the requests that may run early.
    pub fn scan_bytes(&self, mut bytes: &[u8]) {
        let mut state = self.lock();
        while let Some(head) = state.framing.next_head(&mut bytes) {
            let arrived = self.0.lifetime.arrive(head.kind);
            let early = arrived.filter(|number| self.0.lifetime.may_start(*number));
            if let Some(number) = early {
                state.start(number, &head.bytes, &self.0);
            }
        }
        if state.framing.is_in_head() {
            self.0.lifetime.arrive_partly();
        }
    }

    /// Returns the task of the request that hyper passes on, if that request was started early.
    ///
    /// The heads are compared in full. If they differ, no further request is started early.
    #[must_use]
    pub fn take(&self, RequestNumber(number): RequestNumber, head: &Parts) -> Option<ResponseTask> {
        let mut state = self.lock();
        let is_due = |ahead: &StartedRequest| ahead.number <= number;
        let due = state.started.front().is_some_and(is_due);
        let ahead = due.then(|| state.started.pop_front()).flatten()?;
        match ahead.number == number && is_same_head(&ahead.head, head) {
            true => {
                // A task that has ended does not wait for its turn.
                let _ = ahead.turn.send(());
                Some(ahead.started)
            }
            false => {
                state.started.clear();
                state.framing.give_up();
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
    /// Starts a request early, unless too many of the connection are in progress.
    fn start(&mut self, number: u64, head: &[u8], conn: &Inner) {
        if self.started.len() >= MAX_PIPELINED {
            return;
        }
        let Some(mut head) = to_parts(head) else {
            return;
        };
        head.extensions.extend(conn.origin.clone());
        let (turn, waiting) = oneshot::channel();
        if let Some(started) = (conn.starter.0)(&head, waiting) {
            self.started.push_back(StartedRequest {
                number,
                head,
                started,
                turn,
            });
        }
    }
}

fn is_same_head(a: &Parts, b: &Parts) -> bool {
    a.method == b.method && a.uri == b.uri && a.headers == b.headers
}

/// Converts the bytes of a head to the form that hyper passes to the service.
fn to_parts(bytes: &[u8]) -> Option<Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    head.parse(bytes).ok()?;
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse().ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    *request.version_mut() = Version::HTTP_11;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(field.value).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request.into_parts().0)
}

//! What a node reads from a request's head before it decides anything.

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Version};
use swiftcart_core::{Attempt, Deadline, Instant, Reason};

use super::headers::{
    ATTEMPT, DEADLINE_MS, IDEMPOTENCY_KEY, REQUEST_ID, SERVICE, number, strip_hop, strip_internal,
};
use super::rng::with_rng;
use crate::settings::Limits;

/// The longest idempotency key, in bytes.
const MAX_KEY: usize = 256;

/// What is known of a call from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The call's number in logs, the same at every node.
    pub id: u64,
    /// When the answer is due.
    pub due: Deadline,
    /// How often the call was tried before, over all levels.
    pub attempt: Attempt,
    /// Whether the method says that the request may run twice without harm.
    pub idempotent: bool,
    /// The key under which a request that is not idempotent runs at most once.
    pub key: Option<HeaderValue>,
}

impl Call {
    /// Reads a caller's request; what only nodes may say is removed from it.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when the request cannot be passed on safely.
    pub fn from_caller(head: &mut Parts, limits: &Limits, now: Instant) -> Result<Self, Reason> {
        check(head)?;
        strip_internal(&mut head.headers);
        let id = with_rng(rand::Rng::random);
        Self::read(head, id, limits, now)
    }

    /// Reads a request that another node hands on, and the service that it asks for.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when a node would not send it so.
    pub fn from_peer(
        head: &mut Parts,
        limits: &Limits,
        now: Instant,
    ) -> Result<(Self, HeaderValue), Reason> {
        check(head)?;
        let service = head.headers.get(SERVICE).cloned();
        let service = service.ok_or(Reason::BadRequest)?;
        let id = hex(&head.headers).ok_or(Reason::BadRequest)?;
        strip_internal(&mut head.headers);
        let call = Self::read(head, id, limits, now)?;
        Ok((call, service))
    }

    fn read(head: &mut Parts, id: u64, limits: &Limits, now: Instant) -> Result<Self, Reason> {
        let headers = &mut head.headers;
        let left = number(headers, &DEADLINE_MS)?;
        let longest = limits.longest();
        let due = left.map_or(longest, |ms| {
            longest.min(std::time::Duration::from_millis(ms))
        });
        let attempt = number(headers, &ATTEMPT)?.unwrap_or(0);
        let attempt = u8::try_from(attempt).map_err(|_| Reason::BadRequest)?;
        let idempotent = is_idempotent(&head.method);
        let key = key(headers, idempotent)?;
        strip_hop(headers);
        Ok(Self {
            id,
            due: Deadline::new(now, due),
            attempt: Attempt(attempt),
            idempotent,
            key,
        })
    }

    /// Returns the call's number as a header's value.
    #[must_use]
    pub fn id_value(&self) -> HeaderValue {
        let text = format!("{:016x}", self.id);
        HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static("0"))
    }
}

/// Refuses what cannot be passed on: tunnels, and HTTP/1.0, whose callers cannot tell
/// an answer that broke off from a whole one.
fn check(head: &Parts) -> Result<(), Reason> {
    match (&head.method, head.version) {
        (&Method::CONNECT, _) => Err(Reason::BadRequest),
        (_, Version::HTTP_11) if head.uri.path_and_query().is_some() => Ok(()),
        _ => Err(Reason::BadRequest),
    }
}

/// Returns the key of a request that is not idempotent.
fn key(headers: &HeaderMap, idempotent: bool) -> Result<Option<HeaderValue>, Reason> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        _ if idempotent => Ok(None),
        (Some(key), None) if (1..=MAX_KEY).contains(&key.len()) => Ok(Some(key.clone())),
        _ => Err(Reason::BadRequest),
    }
}

fn hex(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(REQUEST_ID)?.to_str().ok()?;
    u64::from_str_radix(text, 16).ok()
}

fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

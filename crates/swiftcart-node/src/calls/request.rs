//! What a node reads from a request's head before it decides anything.

use std::fmt;
use std::time::Duration;

use http::header::{AUTHORIZATION, COOKIE, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Version};
use swiftcart_core::{
    AdmissionRequest, AllowedRegions, Attempt, BodyPrint, CallerPrint, Deadline, Fingerprint,
    HeadFields, HeadPrint, Instant, Payload, Priority, QueueWait, Reason, RequestClass,
    RequestPrint, ResponseLength, RouteProfile, RouteTag, Routed, Timing,
};

use super::headers::{
    ATTEMPT, IDEMPOTENCY_KEY, SERVICE, TERMS, number, strip_caller, strip_hop_by_hop,
    strip_internal,
};
use super::rng::with_rng;
use super::terms::CallTerms;
use crate::settings::{Headers, Settings};

/// The longest idempotency key, in bytes.
const MAX_KEY: usize = 256;

/// The longest id of a request, in bytes.
const MAX_ID: usize = 128;

/// Names one request in logs, the same at every node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(pub HeaderValue);

/// What is known of a call from its head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The call's name in logs.
    pub id: RequestId,
    /// When the answer is due.
    pub due: Deadline,
    /// How often the call was tried before, over all levels.
    pub attempt: Attempt,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
    /// The key under which a request that is not idempotent runs at most once.
    pub key: Option<HeaderValue>,
    /// How the route's policy treats the request; without one its method decides.
    pub terms: Option<CallTerms>,
    /// How much the request and its answer weigh on the way.
    pub payload: Payload,
    /// The regions to which it may be sent.
    pub regions: AllowedRegions,
    /// What stands for the head and the service it comes from, the same when the request comes again.
    pub print: CallPrint,
}

/// Stands for what is known of a request before its body is here.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct CallPrint {
    /// The head.
    pub head: HeadPrint,
    /// The service that it comes from.
    pub caller: CallerPrint,
}

impl CallPrint {
    /// Returns the request's fingerprint, given what stands for its body.
    #[must_use]
    pub const fn with_body(self, body: BodyPrint) -> Fingerprint {
        Fingerprint {
            request: RequestPrint {
                head: self.head,
                body,
            },
            caller: self.caller,
        }
    }
}

impl fmt::Display for CallPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.with_body(BodyPrint::default()).fmt(f)
    }
}

impl RequestId {
    /// Draws an id for a request that came without one.
    fn draw() -> Self {
        let number: u64 = with_rng(rand::Rng::random);
        let text = format!("{number:016x}");
        Self(HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static("0")))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.to_str().unwrap_or("?"))
    }
}

impl Call {
    /// Reads a caller's request; what only nodes may say is removed from it.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when the request cannot be passed on safely.
    pub fn from_caller(
        head: &mut Parts,
        settings: &Settings,
        now: Instant,
    ) -> Result<Self, Reason> {
        check(head)?;
        let names = &settings.headers;
        strip_caller(&mut head.headers, names);
        let id = match names.own_ids {
            true => given_id(&head.headers, names)?,
            false => None,
        };
        let id = id.unwrap_or_else(RequestId::draw);
        head.headers
            .insert(names.request_id.0.clone(), id.0.clone());
        Self::read(head, id, settings, now)
    }

    /// Reads a request that another node hands on, and the service that it asks for.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when a node would not send it so.
    pub fn from_peer(
        head: &mut Parts,
        settings: &Settings,
        now: Instant,
    ) -> Result<(Self, HeaderValue), Reason> {
        check(head)?;
        let service = head.headers.get(SERVICE).cloned();
        let service = service.ok_or(Reason::BadRequest)?;
        let id = given_id(&head.headers, &settings.headers)?.ok_or(Reason::BadRequest)?;
        let terms = head.headers.get(TERMS).map(CallTerms::parse).transpose()?;
        strip_internal(&mut head.headers);
        let mut call = Self::read(head, id, settings, now)?;
        call.take_print(head, &settings.headers);
        if let Some(terms) = terms {
            call.take_terms(terms);
        }
        Ok((call, service))
    }

    /// Takes over what the configuration says of the request's route, and what was learned of it.
    pub fn take_route(&mut self, routed: &Routed<'_>, profile: &mut RouteProfile, now: Instant) {
        let (entry, policy) = (routed.entry, routed.policy);
        // The time that the caller gave shows its age, whatever the route's timeout leaves of it.
        let age = profile.age(self.due.left(now));
        let limit = |due: Deadline, ms: u32| match ms {
            0 => due,
            ms => due.within(now, Duration::from_millis(ms.into())),
        };
        self.due = limit(self.due, entry.limits().timeout_ms);
        if let Some(policy) = policy {
            self.due = limit(self.due, policy.timeout_ms);
            let terms = CallTerms::from(policy).with_age(age);
            let answer = match (terms.class, profile.payload()) {
                (RequestClass::Download, _) | (_, Payload::Heavy) => ResponseLength::Long,
                (_, Payload::Light) => ResponseLength::Short,
            };
            let route = routed.route.into();
            self.take_terms(CallTerms {
                answer,
                route,
                ..terms
            });
        }
        self.payload = match self.terms {
            Some(terms) if terms.class == RequestClass::Upload => Payload::Heavy,
            Some(terms) if terms.answer == ResponseLength::Long => Payload::Heavy,
            Some(_) => Payload::Light,
            None => profile.payload(),
        };
    }

    /// Gives the request the rank of its client account, in place of its route's.
    pub fn rank(&mut self, priority: Priority) {
        if let Some(terms) = &mut self.terms {
            terms.priority = priority;
        }
    }

    /// Notes what stands for the head that a backend server will get.
    pub fn take_print(&mut self, head: &Parts, names: &Headers) {
        let field = |name: &HeaderName| head.headers.get(name).map_or(&b""[..], |v| v.as_bytes());
        let target = head.uri.path_and_query();
        let caller = names.caller.as_ref();
        // Where there are accounts, the account stands in the key's place.
        let account = names.account.as_ref().map(|name| &name.0);
        let account = account.filter(|name| head.headers.contains_key(*name));
        self.print.caller = CallerPrint::new(caller.map_or(b"", |name| field(&name.0)));
        self.print.head = HeadPrint::new(&HeadFields {
            credentials: [account.unwrap_or(&AUTHORIZATION), &COOKIE].map(field),
            method: head.method.as_str().as_bytes(),
            host: field(&HOST),
            target: target.map_or(b"", |target| target.as_str().as_bytes()),
        });
    }

    /// Returns what the request asks of a guard.
    #[must_use]
    pub fn admission_request(&self) -> AdmissionRequest {
        let admission_request = AdmissionRequest::new(self.due);
        self.terms.map_or(admission_request, |terms| {
            admission_request
                .with_target(terms.target())
                .with_priority(terms.priority)
                .with_queue_wait(terms.queue_wait)
                .with_age(terms.age())
                .with_response_length(terms.answer)
        })
    }

    /// Returns for how long the caller has been trying; zero where that is not known.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.terms.map_or(Duration::ZERO, |terms| terms.age())
    }

    /// Notes for how long its caller has been trying at least.
    pub fn tried_for(&mut self, age: Duration) {
        if let Some(terms) = &mut self.terms {
            *terms = terms.with_age(terms.age().max(age));
        }
    }

    /// Tells whether the request can still be answered within its target, of which a call
    /// typically takes a share.
    #[must_use]
    pub fn timing(&self, typical: f64) -> Timing {
        let is_late = |terms: CallTerms| {
            let left = terms.target().saturating_sub(terms.age());
            left <= terms.target().mul_f64(typical.clamp(0.0, 1.0))
        };
        match self.terms.is_some_and(is_late) {
            true => Timing::Late,
            false => Timing::InTime,
        }
    }

    /// Returns the request's route, where a policy treats it.
    #[must_use]
    pub fn route(&self) -> RouteTag {
        self.terms.map_or(RouteTag::OTHERS, |terms| terms.route)
    }

    /// Tells whether the request is an upload by its route's policy.
    #[must_use]
    pub fn is_upload(&self) -> bool {
        self.terms
            .is_some_and(|terms| terms.class == RequestClass::Upload)
    }

    /// Returns the request as one try: whether it follows one that reached a backend server,
    /// and how long it may wait.
    #[must_use]
    pub fn attempt(&self, repeat: bool, queue_wait: QueueWait) -> Self {
        let terms = self.terms.map(|terms| CallTerms {
            repeat,
            queue_wait,
            ..terms
        });
        Self {
            terms,
            ..self.clone()
        }
    }

    fn take_terms(&mut self, terms: CallTerms) {
        self.idempotent = terms.class.is_idempotent();
        self.terms = Some(terms);
    }

    fn read(
        head: &mut Parts,
        id: RequestId,
        settings: &Settings,
        now: Instant,
    ) -> Result<Self, Reason> {
        let headers = &mut head.headers;
        let left = number(headers, &settings.headers.deadline_ms.0)?;
        let longest = settings.limits.longest();
        let due = left.map_or(longest, |ms| longest.min(Duration::from_millis(ms)));
        let attempt = number(headers, &ATTEMPT)?.unwrap_or(0);
        let attempt = u8::try_from(attempt).map_err(|_| Reason::BadRequest)?;
        let idempotent = head.method.is_idempotent();
        let key = match settings.claims {
            true => key(headers, idempotent)?,
            false => None,
        };
        strip_hop_by_hop(headers);
        Ok(Self {
            id,
            due: Deadline::new(now, due),
            attempt: Attempt(attempt),
            idempotent,
            key,
            terms: None,
            payload: Payload::Light,
            regions: AllowedRegions::default(),
            print: CallPrint::default(),
        })
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

/// Returns the id that a request came with.
fn given_id(headers: &HeaderMap, names: &Headers) -> Result<Option<RequestId>, Reason> {
    let mut values = headers.get_all(&names.request_id.0).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(id), None) if (1..=MAX_ID).contains(&id.len()) && id.to_str().is_ok() => {
            Ok(Some(RequestId(id.clone())))
        }
        _ => Err(Reason::BadRequest),
    }
}

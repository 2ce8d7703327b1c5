//! Properties of a call that a node reads from the request's head.

use std::fmt;
use std::time::Duration;

use http::header::{AUTHORIZATION, COOKIE, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Version as HttpVersion};
use swiftcart_core::{
    AdmissionRequest, AllowedRegions, AskClass, Attempt, BodyHash, CallerHash, Deadline,
    Fingerprint, HeadFields, HeadHash, Instant, ParentRank, Payload, Priority, QueueWait, Reason,
    RequestClass, RequestDigest, RequestOrigin, RequestTiming, ResponseLength, RouteMatch,
    RouteProfile, RouteTag, ShareStanding, SpillDraw, Version,
};

use super::headers::{
    ATTEMPT, IDEMPOTENCY_KEY, SERVICE, TERMS, parse_number, strip_caller, strip_hop_by_hop,
    strip_internal,
};
use super::rng::with_rng;
use super::terms::CallTerms;
use crate::settings::{Headers, Settings};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Identifier of a request in logs, the same on every node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestId(pub HeaderValue);

/// Properties of a call, read from the request's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Request id in logs.
    pub id: RequestId,
    /// Version of the configuration by which this node routes the request.
    pub version: Version,
    /// Deadline of the response.
    pub due: Deadline,
    /// Number of earlier attempts, across all levels that retry.
    pub attempt: Attempt,
    /// `true` if the request may safely run twice.
    pub idempotent: bool,
    /// Idempotency key, under which a non-idempotent request runs at most once.
    pub key: Option<HeaderValue>,
    /// Terms of the route's policy. Without a policy, the HTTP method decides about retries.
    pub terms: Option<CallTerms>,
    /// Size class of the request and its response.
    pub payload: Payload,
    /// Regions to which the request may be sent.
    pub regions: AllowedRegions,
    /// `true` if this node refused the request before, and the caller has waited at least as long as
    /// the refusal asked for.
    pub returning: bool,
    /// `true` if the ingress decides about overload of the service.
    pub overload_decided: bool,
    /// `true` if the local backend server may have sent the request for one that it runs.
    pub likely_nested: bool,
    /// Random draw by which a spill plan decides whether the request leaves its failure domain;
    /// `None` if no spill plan applies.
    pub spill: Option<SpillDraw>,
    /// Hashes of the head and the calling service, the same for repeats of the request.
    pub print: CallPrint,
}

/// Source of the rank of a nested call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RankSource {
    /// The request that it serves, which is more urgent.
    Parent,
    /// Its own route, which is as urgent as the request that it serves.
    Own,
}

impl RankSource {
    /// Returns the label of the source in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Parent => "parent",
            Self::Own => "own",
        }
    }
}

/// Partial fingerprint of a request, available before its body has arrived.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct CallPrint {
    /// Hash of the head.
    pub head: HeadHash,
    /// Hash of the calling service.
    pub caller: CallerHash,
}

impl CallPrint {
    /// Returns the request's fingerprint, given the hash of its body.
    #[must_use]
    pub const fn with_body(self, body: BodyHash) -> Fingerprint {
        Fingerprint {
            request: RequestDigest {
                head: self.head,
                body,
            },
            caller: self.caller,
        }
    }
}

impl fmt::Display for CallPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.with_body(BodyHash::default()).fmt(f)
    }
}

impl RequestId {
    /// Generates a random id for a request without one.
    fn generate() -> Self {
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
    /// Reads a caller's request and removes the headers that only nodes may set.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadRequest`] if the request cannot be passed on safely.
    pub fn from_caller(
        head: &mut Parts,
        settings: &Settings,
        now: Instant,
    ) -> Result<Self, Reason> {
        validate(head)?;
        let names = &settings.headers;
        strip_caller(&mut head.headers, names);
        let id = match names.own_ids {
            true => given_id(&head.headers, names)?,
            false => None,
        };
        let id = id.unwrap_or_else(RequestId::generate);
        Self::read(head, id, settings, now)
    }

    /// Reads a request that another node forwards, and returns it with the requested service.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadRequest`] if the request is not one that a node would send.
    pub fn from_peer(
        head: &mut Parts,
        settings: &Settings,
        now: Instant,
    ) -> Result<(Self, HeaderValue), Reason> {
        validate(head)?;
        let service = head.headers.get(SERVICE).cloned();
        let service = service.ok_or(Reason::BadRequest)?;
        let id = given_id(&head.headers, &settings.headers)?.ok_or(Reason::BadRequest)?;
        let terms = head.headers.get(TERMS).map(CallTerms::parse).transpose()?;
        strip_internal(&mut head.headers);
        let mut call = Self::read(head, id, settings, now)?;
        call.compute_print(head, &settings.headers);
        if let Some(terms) = terms {
            call.set_terms(terms);
        }
        Ok((call, service))
    }

    /// Applies the route's configuration and its learned profile to the call.
    pub fn apply_route(
        &mut self,
        routed: &RouteMatch<'_>,
        profile: &mut RouteProfile,
        now: Instant,
    ) {
        let (entry, policy) = (routed.entry, routed.policy);
        // The age is derived from the deadline that the caller set, so it is computed before the
        // route's timeout shortens that deadline.
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
            self.set_terms(CallTerms {
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

    /// Sets the priority of the client account in place of the route's.
    pub fn set_priority(&mut self, priority: Priority) {
        if let Some(terms) = &mut self.terms {
            terms.priority = priority;
        }
    }

    /// Returns the origin of the request.
    #[must_use]
    pub fn origin(&self) -> RequestOrigin {
        self.terms
            .map_or(RequestOrigin::Caller, |terms| terms.origin)
    }

    /// Marks the request as a nested call of a request with the rank `parent`, and returns the source
    /// of its own rank.
    ///
    /// A nested call is at least as urgent as the request that it serves.
    pub fn set_nested(&mut self, parent: ParentRank, now: Instant) -> RankSource {
        let Some(terms) = &mut self.terms else {
            return RankSource::Own;
        };
        terms.origin = RequestOrigin::Backend;
        let rest = parent.target.map(|end| end.since(now).as_millis());
        terms.parent_ms = rest.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
        let own = terms.priority;
        terms.priority = own.min(parent.priority);
        match terms.priority < own {
            true => RankSource::Parent,
            false => RankSource::Own,
        }
    }

    /// Returns the rank that nested calls of the request get, or `None` without a policy.
    #[must_use]
    pub fn parent_rank(&self, now: Instant) -> Option<ParentRank> {
        self.terms.map(|terms| ParentRank {
            priority: terms.priority,
            target: Some(now + terms.target_left()),
        })
    }

    /// Sets the standing of the client account relative to its share of the service.
    pub fn set_standing(&mut self, standing: ShareStanding) {
        if let Some(terms) = &mut self.terms {
            terms.standing = standing;
        }
    }

    /// Computes the hashes of the head that the backend server receives.
    pub fn compute_print(&mut self, head: &Parts, names: &Headers) {
        let field = |name: &HeaderName| head.headers.get(name).map_or(&b""[..], |v| v.as_bytes());
        let target = head.uri.path_and_query();
        let caller = names.caller.as_ref();
        // With accounts, the account name replaces the API key as the credential.
        let account = names.account.as_ref().map(|name| &name.0);
        let account = account.filter(|name| head.headers.contains_key(*name));
        self.print.caller = CallerHash::new(caller.map_or(b"", |name| field(&name.0)));
        self.print.head = HeadHash::new(&HeadFields {
            credentials: [account.unwrap_or(&AUTHORIZATION), &COOKIE].map(field),
            method: head.method.as_str().as_bytes(),
            host: field(&HOST),
            target: target.map_or(b"", |target| target.as_str().as_bytes()),
        });
    }

    /// Returns the request in the form that the guard's admission control takes.
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
                .with_origin(terms.origin)
                .with_parent_target(terms.parent_target())
                .with_standing(terms.standing)
        })
    }

    /// Returns the time since the caller's first attempt, or zero if unknown.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.terms.map_or(Duration::ZERO, |terms| terms.age())
    }

    /// Raises the time since the caller's first attempt to at least `age`.
    pub fn raise_age(&mut self, age: Duration) {
        if let Some(terms) = &mut self.terms {
            *terms = terms.with_age(terms.age().max(age));
        }
    }

    /// Returns [`RequestTiming::Late`] if the request will probably miss its latency target.
    ///
    /// `typical` is the share of the target that a call usually takes.
    #[must_use]
    pub fn timing(&self, typical: f64) -> RequestTiming {
        let is_late = |terms: CallTerms| {
            let left = terms.target().saturating_sub(terms.age());
            left <= terms.target().mul_f64(typical.clamp(0.0, 1.0))
        };
        match self.terms.is_some_and(is_late) {
            true => RequestTiming::Late,
            false => RequestTiming::InTime,
        }
    }

    /// Returns the class in which the request competes with others of its service.
    ///
    /// `typical` is the share of the target that a call usually takes.
    #[must_use]
    pub fn class(&self, typical: f64) -> AskClass {
        AskClass {
            priority: self.terms.map_or(Priority(0), |terms| terms.priority),
            timing: self.timing(typical),
            standing: self
                .terms
                .map_or(ShareStanding::Within, |terms| terms.standing),
        }
    }

    /// Returns the tag of the request's route, or [`RouteTag::OTHERS`] without a policy.
    #[must_use]
    pub fn route(&self) -> RouteTag {
        self.terms.map_or(RouteTag::OTHERS, |terms| terms.route)
    }

    /// Returns `true` if the route's policy classifies the request as an upload.
    #[must_use]
    pub fn is_upload(&self) -> bool {
        self.terms
            .is_some_and(|terms| terms.class == RequestClass::Upload)
    }

    /// Returns the call for one attempt.
    ///
    /// `repeat` is `true` if an earlier attempt reached a backend server. `queue_wait` limits the
    /// time in the guard's queue.
    #[must_use]
    pub fn for_attempt(&self, repeat: bool, queue_wait: QueueWait) -> Self {
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

    fn set_terms(&mut self, terms: CallTerms) {
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
        let left = parse_number(headers, &settings.headers.deadline_ms.0)?;
        let longest = settings.limits.longest();
        let due = left.map_or(longest, |ms| longest.min(Duration::from_millis(ms)));
        let attempt = parse_number(headers, &ATTEMPT)?.unwrap_or(0);
        let attempt = u8::try_from(attempt).map_err(|_| Reason::BadRequest)?;
        let idempotent = head.method.is_idempotent();
        let key = match settings.claims {
            true => key(headers, idempotent)?,
            false => None,
        };
        strip_hop_by_hop(headers);
        // The caller may have named this header as one of its connection.
        headers.insert(settings.headers.request_id.0.clone(), id.0.clone());
        Ok(Self {
            id,
            version: Version::NONE,
            due: Deadline::new(now, due),
            attempt: Attempt(attempt),
            idempotent,
            key,
            terms: None,
            payload: Payload::Light,
            regions: AllowedRegions::default(),
            returning: false,
            overload_decided: false,
            likely_nested: false,
            spill: None,
            print: CallPrint::default(),
        })
    }
}

/// Refuses requests that cannot be passed on: `CONNECT` tunnels and HTTP/1.0.
///
/// An HTTP/1.0 caller cannot distinguish a truncated response from a complete one.
fn validate(head: &Parts) -> Result<(), Reason> {
    match (&head.method, head.version) {
        (&Method::CONNECT, _) => Err(Reason::BadRequest),
        (_, HttpVersion::HTTP_11) if head.uri.path_and_query().is_some() => Ok(()),
        _ => Err(Reason::BadRequest),
    }
}

/// Returns the idempotency key of a non-idempotent request.
fn key(headers: &HeaderMap, idempotent: bool) -> Result<Option<HeaderValue>, Reason> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        _ if idempotent => Ok(None),
        (Some(key), None) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.clone())),
        _ => Err(Reason::BadRequest),
    }
}

/// Returns the id in the request's headers.
fn given_id(headers: &HeaderMap, names: &Headers) -> Result<Option<RequestId>, Reason> {
    let mut values = headers.get_all(&names.request_id.0).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(id), None) if (1..=MAX_ID_BYTES).contains(&id.len()) && id.to_str().is_ok() => {
            Ok(Some(RequestId(id.clone())))
        }
        _ => Err(Reason::BadRequest),
    }
}

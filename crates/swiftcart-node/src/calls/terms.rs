//! Terms of a route's policy for a request, as sent between nodes.

use std::str::FromStr;
use std::time::Duration;

use http::HeaderValue;
use swiftcart_core::{
    Policy, Priority, QueueWait, Reason, RequestClass, RequestOrigin, ResponseLength, RouteTag,
    ShareStanding,
};

/// Policy terms of one request that an ingress sends to a guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTerms {
    /// Request class, which determines whether the request may run more than once.
    pub class: RequestClass,
    /// Maximum number of backend servers that the request may be sent to.
    pub attempts: u8,
    /// Priority among the requests of the same service.
    pub priority: Priority,
    /// Latency target of the response, in milliseconds.
    pub target_ms: u32,
    /// `true` if an earlier attempt reached a backend server.
    pub repeat: bool,
    /// Limit on the wait in the guard's queue.
    pub queue_wait: QueueWait,
    /// Time since the caller's first attempt, in milliseconds.
    pub age_ms: u32,
    /// Expected length of the response.
    pub answer: ResponseLength,
    /// Tag of the route.
    pub route: RouteTag,
    /// Origin of the request at its ingress.
    pub origin: RequestOrigin,
    /// Standing of the client account relative to its share of the service.
    pub standing: ShareStanding,
    /// Rest of the latency target of the request that a nested call serves, in milliseconds.
    pub parent_ms: Option<u32>,
}

impl CallTerms {
    /// Parses a header value written by [`CallTerms::header_value`].
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadRequest`] if the value is malformed.
    pub fn parse(value: &HeaderValue) -> Result<Self, Reason> {
        let mut parts = value.to_str().unwrap_or_default().split(' ');
        let class = match parts.next() {
            Some("i") => RequestClass::Idempotent,
            Some("n") => RequestClass::NonIdempotent,
            Some("u") => RequestClass::Upload,
            Some("d") => RequestClass::Download,
            _ => return Err(Reason::BadRequest),
        };
        Ok(Self {
            class,
            attempts: next(&mut parts)?,
            priority: Priority(next(&mut parts)?),
            target_ms: next(&mut parts)?,
            repeat: next::<u8>(&mut parts)? > 0,
            queue_wait: match next::<u8>(&mut parts)? {
                0 => QueueWait::Short,
                _ => QueueWait::Full,
            },
            age_ms: next(&mut parts)?,
            answer: match next::<u8>(&mut parts)? {
                0 => ResponseLength::Short,
                _ => ResponseLength::Long,
            },
            // Earlier releases do not send the fields from here on.
            route: parts.next().map_or(Ok(RouteTag::OTHERS), |part| {
                part.parse().map(RouteTag).map_err(|_| Reason::BadRequest)
            })?,
            origin: match parts.next() {
                Some("b") => RequestOrigin::Backend,
                Some(_) | None => RequestOrigin::Caller,
            },
            standing: match parts.next() {
                Some("o") => ShareStanding::Beyond,
                Some(_) | None => ShareStanding::Within,
            },
            parent_ms: parts.next().and_then(|part| part.parse().ok()),
        })
    }

    /// Returns the latency target of the response.
    #[must_use]
    pub const fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms as u64)
    }

    /// Returns the time since the caller's first attempt.
    #[must_use]
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    /// Returns the rest of the latency target of the request that a nested call serves, if known.
    #[must_use]
    pub fn parent_target(&self) -> Option<Duration> {
        self.parent_ms.map(|ms| Duration::from_millis(ms.into()))
    }

    /// Returns the rest of the latency target of the request itself, or of the request that it
    /// serves if it is a nested call.
    #[must_use]
    pub fn target_left(&self) -> Duration {
        match self.parent_target() {
            Some(rest) => rest,
            None => self.target().saturating_sub(self.age()),
        }
    }

    /// Sets the time since the caller's first attempt.
    #[must_use]
    pub fn with_age(mut self, age: Duration) -> Self {
        self.age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        self
    }

    /// Formats the terms as a header value.
    #[must_use]
    pub fn header_value(&self) -> HeaderValue {
        let class = match self.class {
            RequestClass::Idempotent => 'i',
            RequestClass::NonIdempotent => 'n',
            RequestClass::Upload => 'u',
            RequestClass::Download => 'd',
        };
        let Self {
            attempts,
            priority: Priority(priority),
            target_ms,
            repeat,
            age_ms,
            route: RouteTag(route),
            ..
        } = self;
        let repeat = u8::from(*repeat);
        let long = u8::from(self.answer == ResponseLength::Long);
        let waits = u8::from(self.queue_wait == QueueWait::Full);
        let origin = match self.origin {
            RequestOrigin::Caller => 'c',
            RequestOrigin::Backend => 'b',
        };
        let standing = match self.standing {
            ShareStanding::Within => 'w',
            ShareStanding::Beyond => 'o',
        };
        let parent = self
            .parent_ms
            .map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        let text = format!(
            "{class} {attempts} {priority} {target_ms} {repeat} {waits} {age_ms} {long} {route} \
             {origin} {standing} {parent}"
        );
        // Letters, digits and spaces always form a valid header value.
        HeaderValue::try_from(text).unwrap_or_else(|_| HeaderValue::from_static(""))
    }
}

impl From<Policy> for CallTerms {
    fn from(policy: Policy) -> Self {
        Self {
            class: policy.class,
            attempts: policy.attempts,
            priority: policy.priority,
            target_ms: policy.target_ms,
            repeat: false,
            queue_wait: QueueWait::Full,
            age_ms: 0,
            answer: ResponseLength::Short,
            route: RouteTag::OTHERS,
            origin: RequestOrigin::Caller,
            standing: ShareStanding::Within,
            parent_ms: None,
        }
    }
}

fn next<'a, T: FromStr>(parts: &mut impl Iterator<Item = &'a str>) -> Result<T, Reason> {
    let part = parts.next().ok_or(Reason::BadRequest)?;
    part.parse().map_err(|_| Reason::BadRequest)
}

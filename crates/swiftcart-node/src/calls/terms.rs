//! How a request is treated under its route's policy, as nodes tell each other.

use std::str::FromStr;
use std::time::Duration;

use http::HeaderValue;
use swiftcart_core::{Policy, Priority, QueueWait, Reason, RequestClass, ResponseLength, RouteTag};

/// What a guard has to know of the policy of a request's route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTerms {
    /// How often the request may be executed.
    pub class: RequestClass,
    /// Backend servers that it may be sent to.
    pub attempts: u8,
    /// Its rank among the requests of the same service.
    pub priority: Priority,
    /// The time within which an answer is worth most, in milliseconds.
    pub target_ms: u32,
    /// Whether a backend server got the request before.
    pub repeat: bool,
    /// How long it may wait at the guard.
    pub queue_wait: QueueWait,
    /// For how long its caller has been trying, in milliseconds.
    pub age_ms: u32,
    /// How long its answer is expected to be.
    pub answer: ResponseLength,
    /// Its route.
    pub route: RouteTag,
}

impl CallTerms {
    /// Reads the header that [`CallTerms::value`] wrote.
    ///
    /// # Errors
    ///
    /// [`Reason::BadRequest`] when a node would not have written it so.
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
            // The release before does not tell it.
            route: parts.next().map_or(Ok(RouteTag::OTHERS), |part| {
                part.parse().map(RouteTag).map_err(|_| Reason::BadRequest)
            })?,
        })
    }

    /// Returns the time within which an answer is worth most.
    #[must_use]
    pub const fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms as u64)
    }

    /// Returns for how long the caller has been trying.
    #[must_use]
    pub const fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }

    /// Sets for how long the caller has been trying.
    #[must_use]
    pub fn with_age(mut self, age: Duration) -> Self {
        self.age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        self
    }

    /// Returns the header's value.
    #[must_use]
    pub fn value(&self) -> HeaderValue {
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
        let text = format!(
            "{class} {attempts} {priority} {target_ms} {repeat} {waits} {age_ms} {long} {route}"
        );
        // Letters, digits and spaces are always a header's value.
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
        }
    }
}

fn next<'a, T: FromStr>(parts: &mut impl Iterator<Item = &'a str>) -> Result<T, Reason> {
    let part = parts.next().ok_or(Reason::BadRequest)?;
    part.parse().map_err(|_| Reason::BadRequest)
}

//! Log events of the ingress about single calls.

use std::sync::OnceLock;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use slog::info;
use swiftcart_core::{
    Instant, Pick, Reason, Refusal, RetryTarget, ServiceEntry, SpillCause, Version,
};

use super::{CallState, FailedAttempt, Ingress};
use crate::calls::request::Call;
use crate::logging::{Event, ms};

/// Request that has no response yet. Dropping it before completion logs that the caller
/// disconnected.
pub(super) struct PendingCall<'a> {
    ingress: &'a Ingress,
    id: Option<&'a HeaderValue>,
    target: &'a str,
    start: Instant,
    /// Version that routed the request, once it is routed.
    version: OnceLock<Version>,
    open: bool,
}

impl<'a> PendingCall<'a> {
    /// Tracks the request that arrived at `start`.
    pub(super) const fn new(
        ingress: &'a Ingress,
        id: Option<&'a HeaderValue>,
        target: &'a str,
        start: Instant,
    ) -> Self {
        Self {
            ingress,
            id,
            target,
            start,
            version: OnceLock::new(),
            open: true,
        }
    }

    /// Records the version of the configuration that routes the request. Only the first call has an
    /// effect.
    pub(super) fn set_version(&self, version: Version) {
        self.version.get_or_init(|| version);
    }

    /// Marks the request as answered and returns the version that routed it.
    pub(super) fn complete(mut self) -> Version {
        self.open = false;
        self.version()
    }

    fn version(&self) -> Version {
        self.version.get().copied().unwrap_or(Version::NONE)
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if self.open {
            let now = self.ingress.shared.clock.now();
            let gone = Reason::CallerGone.into();
            let elapsed = now.since(self.start);
            self.ingress
                .log_refusal(self.id, self.target, gone, elapsed, self.version());
        }
    }
}

impl Ingress {
    /// Logs the response of a backend server.
    ///
    /// A server error, or a response that took more than one attempt, is logged as a failure.
    pub(super) fn log_answer(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        pick: &Pick,
        status: StatusCode,
    ) {
        let now = self.shared.clock.now();
        let ordinary = state.failures == 0 && !status.is_server_error();
        let log = match ordinary {
            true => self.shared.call_log.done(now),
            false => self.shared.call_log.failed(now),
        };
        if let Some(log) = log {
            info!(log, ""; "event" => Event::Answer, "id" => %call.id, "service" => %entry.name(),
                "status" => status.as_u16(), "tries" => state.failures + 1, "guard" => %pick.id,
                "rule" => ?pick.rule, "ms" => ms(now.since(state.start)),
                "left_ms" => ms(call.due.left(now)), "age_ms" => ms(call.age()),
                "print" => %call.print, "cause" => cause_label(pick), "version" => call.version.0);
        }
    }

    /// Logs a failed attempt with the retry target, or with the reason why there is no retry.
    pub(super) fn log_failed_attempt(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        pick: &Pick,
        failed: &FailedAttempt,
        next: Result<RetryTarget, &'static str>,
    ) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let load = failed.load.map(|report| report.load);
        let load = load.map(|load| format!("{}/{}/{}", load.running, load.queued, load.limit));
        info!(log, ""; "event" => Event::Try, "id" => %call.id, "service" => %entry.name(),
            "try" => state.failures, "guard" => %pick.id, "rule" => ?pick.rule,
            "reason" => failed.refusal.reason.as_str(), "load" => load.as_deref().unwrap_or("-"),
            "next" => next.map_or_else(|why| why, target_label), "ms" => ms(now.since(state.start)),
            "left_ms" => ms(call.due.left(now)), "age_ms" => ms(call.age()),
            "print" => %call.print, "cause" => cause_label(pick), "version" => call.version.0);
    }

    /// Logs a refusal with which this node itself answers the caller.
    pub(super) fn log_refusal(
        &self,
        id: Option<&HeaderValue>,
        target: &str,
        refusal: Refusal,
        elapsed: Duration,
        version: Version,
    ) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        info!(log, ""; "event" => Event::Answer, "id" => id, "target" => target, "status" => "own",
            "outcome" => refusal.reason.outcome().as_str(), "reason" => refusal.reason.as_str(),
            "retry_after_ms" => refusal.retry_after.map(ms), "ms" => ms(elapsed),
            "version" => version.0);
    }
}

/// Returns the label of the cause for which a request leaves its failure domain, or a dash if the
/// request stays.
fn cause_label(pick: &Pick) -> &'static str {
    pick.cause.map_or("-", SpillCause::as_str)
}

const fn target_label(next: RetryTarget) -> &'static str {
    match next {
        RetryTarget::Other => "another",
        RetryTarget::Same => "again",
    }
}

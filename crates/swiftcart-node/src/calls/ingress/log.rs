//! Log events of the ingress about single calls.

use std::sync::OnceLock;

use http::{HeaderValue, StatusCode};
use slog::info;
use swiftcart_core::{
    Instant, Pick, Reason, Refusal, RetryTarget, ServiceEntry, SpillCause, Version,
};

use super::original::OriginalRequest;
use super::{CallState, FailedAttempt, Ingress};
use crate::calls::origin::CallerConn;
use crate::calls::request::Call;
use crate::logging::{Event, ms};

/// Request that has no response yet. Dropping it before completion logs that the caller
/// disconnected.
pub(super) struct PendingCall<'a> {
    ingress: &'a Ingress,
    id: Option<&'a HeaderValue>,
    conn: Option<CallerConn>,
    target: &'a str,
    start: Instant,
    /// Version that routed the request, once it is routed.
    version: OnceLock<Version>,
    open: bool,
}

impl<'a> PendingCall<'a> {
    /// Tracks the request that arrived at `start` on the connection `conn`.
    pub(super) const fn new(
        ingress: &'a Ingress,
        id: Option<&'a HeaderValue>,
        conn: Option<CallerConn>,
        target: &'a str,
        start: Instant,
    ) -> Self {
        Self {
            ingress,
            id,
            conn,
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

    /// Marks the request as answered by a backend server.
    pub(super) fn answered(mut self) {
        self.open = false;
    }

    /// Marks the request as answered by this node, and logs the refusal.
    pub(super) fn refused(mut self, refusal: Refusal) {
        self.open = false;
        self.log(refusal);
    }

    /// Logs a refusal with which this node itself answers the caller.
    fn log(&self, refusal: Refusal) {
        let shared = &self.ingress.shared;
        let now = shared.clock.now();
        let Some(log) = shared.call_log.failed(now) else {
            return;
        };
        let id = self.id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let version = self.version.get().copied().unwrap_or(Version::NONE);
        info!(log, ""; "event" => Event::Answer, "id" => id, "target" => self.target,
            "status" => "own", "outcome" => refusal.reason.outcome().as_str(),
            "reason" => refusal.reason.as_str(), "retry_after_ms" => refusal.retry_after.map(ms),
            "ms" => ms(now.since(self.start)), "version" => version.0,
            "caller_conn" => self.conn.map(|conn| conn.0));
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if self.open {
            self.log(Reason::CallerGone.into());
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

    /// Logs that the body of a request was read ahead, from `start` until now.
    pub(super) fn log_body(&self, call: &Call, original: &OriginalRequest, start: Instant) {
        let now = self.shared.clock.now();
        if let Some(log) = self.shared.call_log.done(now) {
            let (bytes, pieces) = original.kept();
            info!(log, ""; "event" => Event::Body, "id" => %call.id, "bytes" => bytes,
                "pieces" => pieces, "ms" => ms(now.since(start)), "left_ms" => ms(call.due.left(now)));
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
            "conn" => failed.exchange.map(|exchange| exchange.to_string()),
            "reason" => failed.refusal.reason.as_str(), "load" => load.as_deref().unwrap_or("-"),
            "next" => next.map_or_else(|why| why, target_label), "ms" => ms(now.since(state.start)),
            "left_ms" => ms(call.due.left(now)), "age_ms" => ms(call.age()),
            "print" => %call.print, "cause" => cause_label(pick), "version" => call.version.0);
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

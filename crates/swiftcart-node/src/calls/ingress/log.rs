//! The ingress' lines about single calls.

use std::time::Duration;

use http::{HeaderValue, StatusCode};
use slog::info;
use swiftcart_core::{Instant, Pick, Reason, Refusal, RetryTarget, ServiceEntry};

use super::{CallState, Failed, Ingress};
use crate::calls::request::Call;
use crate::logging::Event;

/// A request without an answer yet; dropped before one, it logs that its caller went away.
pub(super) struct Pending<'a> {
    ingress: &'a Ingress,
    id: Option<&'a HeaderValue>,
    target: &'a str,
    start: Instant,
    open: bool,
}

impl<'a> Pending<'a> {
    /// Watches the request that came at `start`.
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
            open: true,
        }
    }

    /// Notes that there is an answer.
    pub(super) fn settle(mut self) {
        self.open = false;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.open {
            let now = self.ingress.shared.clock.now();
            let gone = Reason::CallerGone.into();
            let elapsed = now.since(self.start);
            self.ingress
                .log_refusal(self.id, self.target, gone, elapsed);
        }
    }
}

impl Ingress {
    /// Logs the answer of a backend server, with a line among the failures when it is one or
    /// took more than one try.
    pub(super) fn log_answer(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        pick: &Pick,
        status: StatusCode,
    ) {
        let now = self.shared.clock.now();
        let ordinary = state.asked == 0 && !status.is_server_error();
        let log = match ordinary {
            true => self.shared.call_log.done(now),
            false => self.shared.call_log.failed(now),
        };
        if let Some(log) = log {
            info!(log, ""; "event" => Event::Answer, "id" => %call.id, "service" => %entry.name(),
                "status" => status.as_u16(), "tries" => state.asked + 1, "guard" => %pick.id,
                "rule" => ?pick.rule, "ms" => ms(now.since(state.start)),
                "left_ms" => ms(call.due.left(now)), "age_ms" => ms(call.age()),
                "print" => %call.print);
        }
    }

    /// Logs a try without an answer, and why there is another one or none.
    pub(super) fn log_try(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        pick: &Pick,
        failed: &Failed,
        next: Result<RetryTarget, &'static str>,
    ) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let load = failed.load.map(|report| report.load);
        let load = load.map(|load| format!("{}/{}/{}", load.running, load.queued, load.limit));
        info!(log, ""; "event" => Event::Try, "id" => %call.id, "service" => %entry.name(),
            "try" => state.asked, "guard" => %pick.id, "rule" => ?pick.rule,
            "reason" => failed.refusal.reason.as_str(), "load" => load.as_deref().unwrap_or("-"),
            "next" => next.map_or_else(|why| why, told), "ms" => ms(now.since(state.start)),
            "left_ms" => ms(call.due.left(now)), "age_ms" => ms(call.age()),
            "print" => %call.print);
    }

    /// Logs an answer that the node makes itself.
    pub(super) fn log_refusal(
        &self,
        id: Option<&HeaderValue>,
        target: &str,
        refusal: Refusal,
        elapsed: Duration,
    ) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
        let view = self.shared.view.load();
        info!(log, ""; "event" => Event::Answer, "id" => id, "target" => target, "status" => "own",
            "outcome" => refusal.reason.outcome().as_str(), "reason" => refusal.reason.as_str(),
            "retry_after_ms" => refusal.retry_after.map(ms), "ms" => ms(elapsed),
            "version" => view.version().0);
    }
}

const fn told(next: RetryTarget) -> &'static str {
    match next {
        RetryTarget::Other => "another",
        RetryTarget::Same => "again",
    }
}

pub(super) fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

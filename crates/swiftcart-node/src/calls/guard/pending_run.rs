//! Log lines about requests that get no response of the backend server.

use http::{HeaderMap, Response, StatusCode};
use slog::info;
use swiftcart_core::{HOP_ALLOWANCE, Reason, Refusal, Slowdown};

use super::Guard;
use crate::calls::conn::ExchangeId;
use crate::calls::exchange::Unanswered;
use crate::calls::request::Call;
use crate::logging::Event;

/// Request at the guard that has no result yet. If it is dropped before
/// [`complete`](Self::complete), the reason why the request ended is logged.
///
/// The guard drops the request when the ingress closes the connection. The ingress does so when its
/// caller disconnects, and at the deadline, which may precede the guard's own timeout.
pub(super) struct PendingRun<'a> {
    guard: &'a Guard,
    call: &'a Call,
    service: &'a str,
    open: bool,
}

impl<'a> PendingRun<'a> {
    /// Tracks a request that has arrived at the guard.
    pub(super) const fn new(guard: &'a Guard, call: &'a Call, service: &'a str) -> Self {
        Self {
            guard,
            call,
            service,
            open: true,
        }
    }

    /// Marks the request as finished.
    pub(super) fn complete(mut self) {
        self.open = false;
    }
}

impl Drop for PendingRun<'_> {
    fn drop(&mut self) {
        if self.open {
            let now = self.guard.shared.clock.now();
            let reason = match self.call.due.misses(now, HOP_ALLOWANCE) {
                true => Reason::Timeout,
                false => Reason::CallerGone,
            };
            self.guard.log(self.call, self.service, reason.into());
        }
    }
}

impl Guard {
    /// Logs the response that came to a request on a connection, and the reason why it is not passed
    /// on, if any.
    pub(super) fn log_exchange<B>(
        &self,
        call: &Call,
        exchange: ExchangeId,
        response: &Response<B>,
        reason: Option<Reason>,
    ) {
        let came = Some((response.status(), response.headers()));
        self.log_came(call, Some(exchange), came, reason);
    }

    /// Logs a request that got no response, or only one that does not count.
    pub(super) fn log_unanswered(&self, call: &Call, unanswered: &Unanswered) {
        let head = unanswered.head.as_ref();
        let came = head.map(|head| (head.status, &head.headers));
        self.log_came(call, unanswered.exchange, came, Some(unanswered.reason));
    }

    fn log_came(
        &self,
        call: &Call,
        exchange: Option<ExchangeId>,
        came: Option<(StatusCode, &HeaderMap)>,
        reason: Option<Reason>,
    ) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let names = &self.shared.settings.headers;
        let not_run = names.not_run.as_ref();
        let headers = came.map(|(_, headers)| headers);
        let id = headers.and_then(|headers| headers.get(&names.request_id.0));
        let id = id.map(|id| id.to_str().unwrap_or("?").to_owned());
        let rejects = headers.zip(not_run);
        let rejects = rejects.map(|(headers, name)| headers.contains_key(&name.0));
        info!(log, ""; "event" => Event::Exchange, "id" => %call.id,
            "conn" => exchange.map(|exchange| exchange.to_string()),
            "repeat" => call.terms.is_some_and(|terms| terms.repeat),
            "status" => came.map(|(status, _)| status.as_u16()),
            "answer_id" => id, "not_run" => rejects,
            "reason" => reason.map(Reason::as_str));
    }

    /// Logs a request that was not forwarded to the backend server or received no response.
    pub(super) fn log(&self, call: &Call, service: &str, refusal: Refusal) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let report = self.report();
        let load = report.map(|report| report.load).unwrap_or_default();
        let slowdown = report.and_then(|report| report.slowdown);
        let instance = self.shared.registration().id().map(str::to_owned);
        info!(log, ""; "event" => Event::Guard, "id" => %call.id, "service" => service,
            "instance" => instance.as_deref().unwrap_or("-"),
            "origin" => call.origin().as_str(), "reason" => refusal.reason.as_str(),
            "running" => load.running,
            "queued" => load.queued, "limit" => load.limit,
            "slowdown" => slowdown.map(Slowdown::factor),
            "left_ms" => u64::try_from(call.due.left(now).as_millis()).unwrap_or(u64::MAX),
            "age_ms" => u64::try_from(call.age().as_millis()).unwrap_or(u64::MAX),
            "print" => %call.print);
    }
}

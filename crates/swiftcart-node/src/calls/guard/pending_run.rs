//! Log lines about requests that get no response of the backend server.

use http::{HeaderMap, Response};
use hyper::body::Incoming;
use slog::info;
use swiftcart_core::{HOP_ALLOWANCE, Reason, Refusal, Slowdown};

use super::Guard;
use crate::calls::conn::ExchangeId;
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
    /// Logs what came on the connection after a request was sent to the backend server: the head of
    /// a response, or the reason why there is none.
    pub(super) fn log_exchange(
        &self,
        call: &Call,
        exchange: Option<ExchangeId>,
        came: Result<&Response<Incoming>, Reason>,
    ) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let names = &self.shared.settings.headers;
        let text = |headers: &HeaderMap, name| {
            let value = headers.get(name)?;
            Some(value.to_str().unwrap_or("?").to_owned())
        };
        let head = came.ok().map(Response::headers);
        let answer_id = head.and_then(|headers| text(headers, &names.request_id.0));
        let not_run = names.not_run.as_ref();
        let rejects = head
            .zip(not_run)
            .map(|(head, name)| head.contains_key(&name.0));
        info!(log, ""; "event" => Event::Exchange, "id" => %call.id,
            "conn" => exchange.map(|exchange| exchange.to_string()),
            "repeat" => call.terms.is_some_and(|terms| terms.repeat),
            "status" => came.ok().map(|response| response.status().as_u16()),
            "answer_id" => answer_id, "not_run" => rejects,
            "reason" => came.err().map(Reason::as_str));
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

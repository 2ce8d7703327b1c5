//! Throttling of the asks at services that have no room.

use std::collections::BTreeMap;
use std::time::Duration;

use http::Response;
use slog::info;
use swiftcart_core::{
    AskRequest, AskThrottle, AskThrottleSettings, Instant, NextAsk, Payload, Pick, Reason, Refusal,
    ServiceEntry, ServiceName, View,
};

use super::{CallState, FailedAttempt, Ingress, lock};
use crate::calls::answer::Answer;
use crate::calls::request::Call;
use crate::calls::rng::with_rng;
use crate::logging::{Event, ms};

/// Throttles of the asks at the services of the configuration.
#[derive(Debug, Default)]
pub(super) struct AskThrottles {
    services: BTreeMap<ServiceName, AskThrottle>,
}

/// Point at which a request for a service without room is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RefusedAt {
    /// Before any guard is asked.
    Door,
    /// Instead of asking a further guard.
    FurtherAsk,
}

impl AskThrottles {
    /// Calls `f` with the throttle of a service, which is created if there is none.
    fn with<T>(&mut self, service: &ServiceName, f: impl FnOnce(&mut AskThrottle) -> T) -> T {
        match self.services.get_mut(service) {
            Some(throttle) => f(throttle),
            None => {
                let new = AskThrottle::new(AskThrottleSettings::default());
                f(self.services.entry(service.clone()).or_insert(new))
            }
        }
    }

    /// Forgets the services that have left the configuration.
    fn retain(&mut self, view: &View) {
        self.services
            .retain(|name, _| view.service(name.as_str()).is_some());
    }

    /// Returns the accepted share of the recent asks at the service where it is lowest.
    fn acceptance(&mut self, now: Instant) -> f64 {
        let services = self.services.values_mut();
        services
            .map(|throttle| throttle.acceptance(now))
            .fold(1.0, f64::min)
    }
}

impl RefusedAt {
    /// Returns the label of the point in metrics and logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Door => "door",
            Self::FurtherAsk => "further",
        }
    }
}

impl Ingress {
    /// Counts a caller's request at the ask throttle of its service, and returns the attributes by
    /// which the throttle decides about its asks.
    ///
    /// Returns `None` for requests whose asks are not throttled: nested calls, requests with long
    /// bodies, whose room depends on links, requests of routes without a policy, and requests for
    /// services whose overload is not decided at the ingress.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NoRoom`] if the request is refused without asking a guard.
    pub(super) fn admit_asks(
        &self,
        call: &Call,
        entry: &ServiceEntry,
    ) -> Result<Option<AskRequest>, Refusal> {
        let Some(request) = self.ask_request(call) else {
            return Ok(None);
        };
        let now = self.shared.clock.now();
        let admit = |throttle: &mut AskThrottle| with_rng(|rng| throttle.admit(now, request, rng));
        let admitted = lock(&self.ask_throttles).with(entry.name(), admit);
        match admitted {
            true => {
                self.count_ask_request("admitted");
                Ok(Some(request))
            }
            false => Err(self.refuse_asks(call, entry, request, RefusedAt::Door, None)),
        }
    }

    /// Decides whether a request asks the guard of `pick`, and counts the ask if so.
    pub(super) fn next_ask(&self, entry: &ServiceEntry, state: &CallState, pick: &Pick) -> NextAsk {
        let Some(request) = state.ask_request else {
            return NextAsk::Ask;
        };
        let now = self.shared.clock.now();
        let decide = |throttle: &mut AskThrottle| {
            // Once a backend server has received the request, only the retry policy decides about
            // further attempts.
            let next = match state.policy_retries.is_retry() {
                true => NextAsk::Ask,
                false => throttle.next_ask(now, request, &state.slot_search, pick),
            };
            if next == NextAsk::Ask {
                throttle.asked(now, request, pick);
            }
            next
        };
        let next = lock(&self.ask_throttles).with(entry.name(), decide);
        if next == NextAsk::Ask {
            let domain = match pick.rule.leaves_domain() {
                true => "other",
                false => "own",
            };
            let counters = &self.shared.counters;
            counters.count("swiftcart_asks_total", "domain", domain);
        }
        next
    }

    /// Records a failed ask at the throttle of its service.
    pub(super) fn record_failed_ask(
        &self,
        entry: &ServiceEntry,
        state: &CallState,
        pick: &Pick,
        reason: Reason,
    ) {
        if let Some(request) = state.ask_request {
            let now = self.shared.clock.now();
            let record = |throttle: &mut AskThrottle| throttle.failed(now, request, pick, reason);
            lock(&self.ask_throttles).with(entry.name(), record);
        }
    }

    /// Refuses a request instead of asking another guard after the failed attempts `last`.
    pub(super) fn refuse_further_ask(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        last: Option<FailedAttempt>,
    ) -> Result<Response<Answer>, FailedAttempt> {
        let request = state.ask_request.unwrap_or_default();
        let guard_retry_after = last.as_ref().and_then(|last| last.refusal.retry_after);
        let at = RefusedAt::FurtherAsk;
        let refusal = self.refuse_asks(call, entry, request, at, guard_retry_after);
        FailedAttempt::merge(last, refusal.into()).into_result()
    }

    /// Returns `true` if the request should stay in its failure domain, because guards of other ones
    /// rarely accept requests.
    pub(super) fn stays_near(&self, entry: &ServiceEntry, state: &CallState) -> bool {
        let stays_near = |request: AskRequest| {
            let now = self.shared.clock.now();
            let decide = |throttle: &mut AskThrottle| throttle.stays_near(now, request.class);
            lock(&self.ask_throttles).with(entry.name(), decide)
        };
        state.ask_request.is_some_and(stays_near)
    }

    /// Updates the gauge of accepted asks, and forgets the services that have left the
    /// configuration.
    pub(super) fn sweep_asks(&self) {
        let now = self.shared.clock.now();
        let mut throttles = lock(&self.ask_throttles);
        throttles.retain(&self.shared.view.load());
        if throttles.services.is_empty() {
            return;
        }
        let gauge = self.shared.counters.gauge("swiftcart_ask_acceptance");
        gauge.set(throttles.acceptance(now));
    }

    /// Returns the attributes by which a throttle decides about the asks of `call`, or `None` if they
    /// are not throttled.
    fn ask_request(&self, call: &Call) -> Option<AskRequest> {
        let is_throttled = call.terms.is_some()
            && call.payload == Payload::Light
            && !call.likely_nested
            && call.overload_decided;
        is_throttled.then(|| AskRequest {
            class: call.class(self.balancer().mean_pace()),
            returning: call.returning,
        })
    }

    /// Creates the refusal of a request for which the service has no room, counts it and logs it.
    ///
    /// `guard_retry_after` is the retry delay that a guard has named for the request.
    fn refuse_asks(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        request: AskRequest,
        refused_at: RefusedAt,
        guard_retry_after: Option<Duration>,
    ) -> Refusal {
        let now = self.shared.clock.now();
        let class = request.class;
        let refuse = |throttle: &mut AskThrottle| {
            let refusal = with_rng(|rng| throttle.refuse(now, class, guard_retry_after, rng));
            (refusal, throttle.counts(now, class))
        };
        let (refusal, counts) = lock(&self.ask_throttles).with(entry.name(), refuse);
        self.count_ask_request(refused_at.as_str());
        if let Some(log) = self.shared.call_log.failed(now) {
            let tenths = |count: f64| (count * 10.0).round() / 10.0;
            info!(log, ""; "event" => Event::NoRoom, "id" => %call.id, "service" => %entry.name(),
                "cause" => refused_at.as_str(), "priority" => class.priority.0,
                "timing" => ?class.timing, "wanted" => tenths(counts.wanted),
                "asked" => tenths(counts.asked), "accepted" => tenths(counts.accepted),
                "refusal_age_ms" => counts.refusal_age.map(ms), "told_ms" => guard_retry_after.map(ms),
                "retry_after_ms" => refusal.retry_after.map(ms), "left_ms" => ms(call.due.left(now)),
                "age_ms" => ms(call.age()));
        }
        refusal
    }

    fn count_ask_request(&self, result: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_ask_requests_total", "result", result);
    }
}

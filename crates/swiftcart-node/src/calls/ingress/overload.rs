//! Decisions of the ingress about services that have less room than their callers ask for.

use http::request::Parts;
use swiftcart_core::{Access, Deadline, RequestOrigin, RouteMatch, ServiceEntry};

use super::Ingress;
use crate::calls::origin::CallerAddr;
use crate::calls::request::Call;
use crate::settings::OverloadTrigger;

impl Ingress {
    /// Returns `true` if the settings, the configuration in force and the backend servers of
    /// `entry` enable the decisions about overload.
    ///
    /// A request keeps the answer of its arrival, so that its rules do not change midway.
    pub(super) fn decides_overload(&self, entry: &ServiceEntry) -> bool {
        let overload = &self.shared.settings.overload;
        let states_pace = || {
            let now = self.shared.clock.now();
            self.balancer().states_pace(now, entry)
        };
        let has_accounts = || !self.shared.view.load().accounts().is_empty();
        overload.has(OverloadTrigger::Always)
            || overload.has(OverloadTrigger::Accounts) && has_accounts()
            || overload.has(OverloadTrigger::StatedPace) && states_pace()
    }

    /// Gives a nested call the rank of the running request that it serves.
    ///
    /// The running request is found by `sent_due`, the deadline that the backend server sent. The
    /// deadline of a caller on the same instance may match by chance. If the configuration has
    /// client accounts, callers can be told apart, since nested calls belong to no account. If it
    /// has none, requests that match keep their own rank, and only their asks are not throttled.
    pub(super) fn rank_nested(
        &self,
        call: &mut Call,
        head: &Parts,
        routed: &RouteMatch<'_>,
        sent_due: Deadline,
    ) {
        if !(call.overload_decided && self.is_from_instance(head)) {
            return;
        }
        let has_accounts = !self.shared.view.load().accounts().is_empty();
        let parent = self.shared.running_requests.parent(sent_due);
        let needs_account = has_accounts && routed.access == Access::Accounts;
        call.likely_nested = needs_account || parent.is_some();
        let Some(parent) = parent.filter(|_| has_accounts) else {
            return;
        };
        let now = self.shared.clock.now();
        let source = call.set_nested(parent, now);
        let counters = &self.shared.counters;
        counters.count("swiftcart_nested_calls_total", "rank", source.as_str());
    }

    /// Counts `call` if it is a nested call, which this node refused after its last attempt.
    ///
    /// The refusal fails the request that the call serves.
    pub(super) fn count_nested_refusal(&self, call: &Call, reason: &'static str) {
        if call.origin() == RequestOrigin::Backend {
            let counters = &self.shared.counters;
            counters.count("swiftcart_nested_refusals_total", "reason", reason);
        }
    }

    /// Returns `true` if the request comes from the address of this instance, as nested calls of the
    /// local backend server do.
    ///
    /// The address of the connection decides, since a caller could forge any header.
    pub(super) fn is_from_instance(&self, head: &Parts) -> bool {
        let origin = CallerAddr::from_extensions(&head.extensions);
        origin.is_some_and(|origin| origin.is_instance(self.shared.settings.listen.calls.ip()))
    }
}

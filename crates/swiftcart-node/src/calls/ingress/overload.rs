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
    /// `due` is the deadline that the backend server sent, by which the running request is found.
    /// Callers may share the instance with the backend server, but they have client accounts, while
    /// nested calls belong to none. Without accounts, some callers' requests match by chance: the
    /// asks of all that match are not throttled, and none is ranked.
    pub(super) fn rank_nested(
        &self,
        call: &mut Call,
        head: &Parts,
        routed: &RouteMatch<'_>,
        due: Deadline,
    ) {
        if !(self.decides_overload(routed.entry) && self.is_nested(head)) {
            return;
        }
        let has_accounts = !self.shared.view.load().accounts().is_empty();
        let parent = self.shared.nested.parent(due);
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

    /// Counts a nested call that was refused in the end, which fails the request that it serves.
    pub(super) fn count_nested_refusal(&self, call: &Call, reason: &'static str) {
        if call.origin() == RequestOrigin::Backend {
            let counters = &self.shared.counters;
            counters.count("swiftcart_nested_refusals_total", "reason", reason);
        }
    }

    /// Returns `true` if the request is a nested call of the local backend server.
    ///
    /// The address of the connection decides, since a caller could forge any header.
    pub(super) fn is_nested(&self, head: &Parts) -> bool {
        let origin = CallerAddr::from_extensions(&head.extensions);
        origin.is_some_and(|origin| origin.is_instance(self.shared.settings.listen.calls.ip()))
    }
}

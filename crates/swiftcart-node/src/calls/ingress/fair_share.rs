//! Standing of requests relative to the fair share of their client account.

use std::collections::HashMap;

use slog::info;
use swiftcart_core::{
    FairShares, Priority, Reason, ResolvedAccount, ServiceEntry, ServiceName, ShareDecision, View,
};

use super::{FailedAttempt, Ingress, lock};
use crate::calls::request::Call;
use crate::calls::rng::with_rng;
use crate::logging::Event;

/// Requests among which accounts have shares: those of one service and one priority.
type ShareClass = (ServiceName, Priority);

/// Fair shares of the accounts by service and priority.
#[derive(Debug, Default)]
pub(super) struct AccountShares {
    classes: HashMap<ShareClass, FairShares>,
}

impl AccountShares {
    /// Forgets the services that have left the configuration.
    pub(super) fn retain(&mut self, view: &View) {
        self.classes
            .retain(|(service, _), _| view.service(service.as_str()).is_some());
    }
}

impl Ingress {
    /// Sets the standing of an account's request, and counts the request in its class.
    ///
    /// Returns the class, or `None` if the request belongs to no account, its route has no policy,
    /// or overload of the service is not decided here.
    pub(super) fn set_share_standing(
        &self,
        call: &mut Call,
        account: Option<&ResolvedAccount>,
        entry: &ServiceEntry,
    ) -> Option<ShareClass> {
        let (account, terms) = (account?, call.terms?);
        if !call.overload_decided {
            return None;
        }
        let now = self.shared.clock.now();
        let class = (entry.name().clone(), terms.priority);
        let decision = with_rng(|rng| {
            let mut shares = lock(&self.shares);
            let shares = shares.classes.entry(class.clone()).or_default();
            shares.ask(now, account.tag, account.weight(), !call.returning, rng)
        });
        call.set_standing(decision.standing);
        let standing = decision.standing.as_str();
        let counters = &self.shared.counters;
        counters.count("swiftcart_share_requests_total", "standing", standing);
        self.record_turn(call, account, &class, decision);
        Some(class)
    }

    /// Counts the end of a request in the shares of its class.
    pub(super) fn settle_share<T>(&self, class: &ShareClass, result: &Result<T, FailedAttempt>) {
        let now = self.shared.clock.now();
        let mut shares = lock(&self.shares);
        let Some(shares) = shares.classes.get_mut(class) else {
            return;
        };
        match result {
            Ok(_) => shares.served(now),
            Err(failed) if is_for_want_of_room(failed.refusal.reason) => shares.refused(now),
            Err(_) => {}
        }
    }

    /// Counts and logs that an account has begun or ceased to ask for more than its share.
    fn record_turn(
        &self,
        call: &Call,
        account: &ResolvedAccount,
        (service, priority): &ShareClass,
        decision: ShareDecision,
    ) {
        let Some(turned) = decision.turned else {
            return;
        };
        let now = self.shared.clock.now();
        let counters = &self.shared.counters;
        counters.count("swiftcart_share_turns_total", "standing", turned.as_str());
        if let Some(log) = self.shared.call_log.irregular(now) {
            info!(log, ""; "event" => Event::Share, "id" => %call.id, "account" => %account.name,
                "service" => %service, "priority" => priority.0, "standing" => turned.as_str(),
                "weight" => account.weight(), "part" => (decision.part * 1000.0).round() / 1000.0);
        }
    }
}

/// Returns `true` if a request is refused for `reason` because backend servers have no room.
const fn is_for_want_of_room(reason: Reason) -> bool {
    reason.lacks_room() || matches!(reason, Reason::NoRoom | Reason::Shed)
}

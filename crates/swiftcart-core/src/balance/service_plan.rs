//! Spill plans of the services of the view.

use std::collections::HashMap;

use super::Balancer;
use crate::{DomainSlots, Instant, ServiceEntry, ServiceName, SpillPlan, SpillStatus, View};

/// Spill plan of one service.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ServicePlan {
    pub(super) name: ServiceName,
    pub(super) plan: SpillPlan,
}

impl Balancer {
    /// Returns the figures of the spill plan of each service.
    pub fn spill_status(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, SpillStatus)> {
        let plans = self.plans.iter();
        plans.map(move |service| (&service.name, service.plan.status(now)))
    }

    /// Replaces the spill plans by those of a new view. Plans of services that remain are kept.
    pub(super) fn adopt_plans(&mut self, view: &View) {
        let old = std::mem::take(&mut self.plans);
        let mut old: HashMap<_, _> = old.into_iter().map(|s| (s.name, s.plan)).collect();
        for entry in view.services() {
            let mut plan = old.remove(entry.name()).unwrap_or_default();
            plan.set_domains(&self.domain_slots(entry));
            let name = entry.name().clone();
            self.plans.push(ServicePlan { name, plan });
        }
    }

    /// Returns the slots of a service in each failure domain of the node's region.
    fn domain_slots(&self, entry: &ServiceEntry) -> Vec<DomainSlots> {
        let mut domains: Vec<DomainSlots> = Vec::new();
        let canaries = entry.tried().iter();
        for candidate in entry.near().iter().chain(entry.far()).chain(canaries) {
            let domain = Some(candidate.domain).filter(|_| !candidate.in_same_domain());
            let running = self.peers.get(&candidate.id).map_or(0, |p| p.running);
            match domains.iter_mut().find(|known| known.domain == domain) {
                Some(known) => {
                    known.slots += candidate.slots;
                    known.running += running;
                }
                None => domains.push(DomainSlots {
                    domain,
                    slots: candidate.slots,
                    running,
                }),
            }
        }
        domains
    }

    /// Returns the spill plan of a service.
    pub(super) fn plan(&self, entry: &ServiceEntry) -> Option<&SpillPlan> {
        let peer = self.peers.get(&entry.candidates().first()?.id)?;
        let service = self.plans.get(peer.service)?;
        (service.name == *entry.name()).then_some(&service.plan)
    }
}

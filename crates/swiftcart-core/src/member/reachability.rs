//! Reachability of other failure domains, as observed by this node.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{FailureDomain, Instant};

#[derive(Debug, Default, Clone, Copy)]
struct DomainContact {
    last_heard: Instant,
    /// Time of the first missed probe since the last datagram.
    first_miss: Option<Instant>,
    unreachable: bool,
}

/// Tracker of the last contact with each other failure domain.
#[derive(Debug, Default, Clone)]
pub(super) struct DomainReachability {
    contacts: BTreeMap<FailureDomain, DomainContact>,
}

impl DomainReachability {
    /// Records a datagram from `domain` and returns `true` if the domain was unreachable.
    pub fn record_contact(&mut self, domain: &FailureDomain, now: Instant) -> bool {
        let contact = match self.contacts.get_mut(domain) {
            Some(contact) => contact,
            None => self.contacts.entry(domain.clone()).or_default(),
        };
        let was_unreachable = contact.unreachable;
        *contact = DomainContact {
            last_heard: now,
            first_miss: None,
            unreachable: false,
        };
        was_unreachable
    }

    /// Records a missed probe or a failed connection attempt that was started at `sent`.
    ///
    /// Returns `true` if this is the first miss since the last datagram.
    pub fn record_miss(&mut self, domain: &FailureDomain, sent: Instant, now: Instant) -> bool {
        let contact = self.contacts.entry(domain.clone()).or_default();
        let is_first = contact.last_heard <= sent && contact.first_miss.is_none();
        if is_first {
            contact.first_miss = Some(now);
        }
        is_first
    }

    /// Marks and returns the failure domains that have become unreachable.
    ///
    /// A failure domain is unreachable when no datagram arrived for `timeout` after a missed probe.
    pub fn take_unreachable(&mut self, now: Instant, timeout: Duration) -> Vec<FailureDomain> {
        let due = self.contacts.iter_mut().filter(|(_, c)| {
            !c.unreachable && c.first_miss.is_some_and(|miss| now.since(miss) >= timeout)
        });
        due.map(|(domain, contact)| {
            contact.unreachable = true;
            domain.clone()
        })
        .collect()
    }

    /// Returns the failure domains with a missed probe that are not yet unreachable.
    pub fn suspected_domains(&self) -> impl Iterator<Item = &FailureDomain> {
        let is_suspected = |c: &DomainContact| c.first_miss.is_some() && !c.unreachable;
        self.contacts
            .iter()
            .filter(move |(_, c)| is_suspected(c))
            .map(|(domain, _)| domain)
    }

    /// Returns `true` if `domain` is unreachable.
    pub fn is_unreachable(&self, domain: &FailureDomain) -> bool {
        self.contacts.get(domain).is_some_and(|c| c.unreachable)
    }

    /// Removes the failure domains that no longer have live nodes.
    pub fn retain(&mut self, live: &[&FailureDomain]) {
        self.contacts.retain(|domain, _| live.contains(&domain));
    }

    /// Discards missed probes, since this process was paused.
    pub fn clear_missed(&mut self) {
        for contact in self.contacts.values_mut() {
            contact.first_miss = None;
        }
    }
}

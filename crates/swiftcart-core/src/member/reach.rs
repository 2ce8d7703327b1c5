//! Which failure domains answer, as seen from this node alone.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{FailureDomain, Instant};

#[derive(Debug, Default, Clone, Copy)]
struct Contact {
    heard: Instant,
    /// When the first probe was missed since something was heard.
    failed: Option<Instant>,
    cut: bool,
}

/// Holds when each other failure domain was last heard.
#[derive(Debug, Default, Clone)]
pub(super) struct Reach {
    contacts: BTreeMap<FailureDomain, Contact>,
}

impl Reach {
    /// Notes a datagram from `domain` and tells whether it was unreachable.
    pub fn heard(&mut self, domain: &FailureDomain, now: Instant) -> bool {
        let contact = match self.contacts.get_mut(domain) {
            Some(contact) => contact,
            None => self.contacts.entry(domain.clone()).or_default(),
        };
        let was = contact.cut;
        *contact = Contact {
            heard: now,
            failed: None,
            cut: false,
        };
        was
    }

    /// Notes a missed probe that was sent at `sent`; returns whether it raised the doubt.
    pub fn missed(&mut self, domain: &FailureDomain, sent: Instant, now: Instant) -> bool {
        let contact = self.contacts.entry(domain.clone()).or_default();
        let raised = contact.heard <= sent && contact.failed.is_none();
        if raised {
            contact.failed = Some(now);
        }
        raised
    }

    /// Takes the failure domains that have now been silent for too long.
    pub fn cut(&mut self, now: Instant, after: Duration) -> Vec<FailureDomain> {
        let due = self
            .contacts
            .iter_mut()
            .filter(|(_, c)| !c.cut && c.failed.is_some_and(|failed| now.since(failed) >= after));
        due.map(|(domain, contact)| {
            contact.cut = true;
            domain.clone()
        })
        .collect()
    }

    /// Returns the failure domains that missed a probe and are not given up yet.
    pub fn doubtful(&self) -> impl Iterator<Item = &FailureDomain> {
        let doubtful = |c: &Contact| c.failed.is_some() && !c.cut;
        self.contacts
            .iter()
            .filter(move |(_, c)| doubtful(c))
            .map(|(domain, _)| domain)
    }

    /// Tells whether `domain` is unreachable.
    pub fn is_cut(&self, domain: &FailureDomain) -> bool {
        self.contacts.get(domain).is_some_and(|c| c.cut)
    }

    /// Forgets the failure domains that have no live nodes any more.
    pub fn keep(&mut self, live: &[&FailureDomain]) {
        self.contacts.retain(|domain, _| live.contains(&domain));
    }

    /// Forgets missed probes, because this process was paused.
    pub fn forgive(&mut self) {
        for contact in self.contacts.values_mut() {
            contact.failed = None;
        }
    }
}

//! Failure domains to which no connection opens, as this node's own requests find them.

use std::collections::HashMap;
use std::time::Duration;

use crate::{DomainTag, Instant, NodeId};

/// The nodes of one failure domain to which no connection opened that tell of a cut. One dead
/// node is no cut; two at once are one in most cases, and are little loss otherwise.
const TELLING: usize = 2;

/// How long a failed connection counts, and how long its failure domain is left out then. Each
/// try at a domain that is cut off costs a request the time to connect; the membership takes
/// 1.2 s to name it.
const MEMORY: Duration = Duration::from_secs(1);

/// Holds the failure domains that this node's requests did not reach lately.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct UnreachableDomains {
    domains: HashMap<DomainTag, Cut>,
}

#[derive(Debug, Default, Clone, PartialEq)]
struct Cut {
    /// The nodes to which no connection opened, and when.
    failed: Vec<(NodeId, Instant)>,
    until: Option<Instant>,
}

impl UnreachableDomains {
    /// Notes that no connection to `node` opened.
    pub(super) fn failed(&mut self, domain: DomainTag, node: NodeId, now: Instant) {
        let cut = self.domains.entry(domain).or_default();
        cut.failed
            .retain(|(id, at)| *id != node && now.since(*at) < MEMORY);
        cut.failed.push((node, now));
        if cut.failed.len() >= TELLING {
            cut.until = Some(now + MEMORY);
        }
    }

    /// Notes an answer of a node of `domain`.
    pub(super) fn reached(&mut self, domain: DomainTag) {
        self.domains.remove(&domain);
    }

    /// Tells whether `domain` is left out.
    pub(super) fn is_cut(&self, domain: DomainTag, now: Instant) -> bool {
        let until = self.domains.get(&domain).and_then(|cut| cut.until);
        until.is_some_and(|until| now < until)
    }
}

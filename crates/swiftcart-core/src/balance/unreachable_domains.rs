//! Detection of unreachable failure domains from failed connections.

use std::collections::HashMap;
use std::time::Duration;

use super::CallResult;
use crate::{DomainTag, Instant, NodeId};

/// Minimum number of failed nodes at which a whole failure domain is considered unreachable.
///
/// A single failed node is not conclusive. Two at once usually mean that the domain is cut off. If
/// it is not cut off, skipping it costs little.
const MIN_FAILED_NODES: usize = 2;

/// Time for which a failed connection counts, and for which its failure domain is then skipped.
///
/// Each request sent to an unreachable domain loses the time of a connection attempt. The
/// membership takes 1.2 s to detect that a domain is cut off.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);

/// Failure domains to which connections of this node have recently failed.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct UnreachableDomains {
    domains: HashMap<DomainTag, DomainFailures>,
}

#[derive(Debug, Default, Clone, PartialEq)]
struct DomainFailures {
    /// Nodes to which a connection failed, with the time of the last failure.
    failed_nodes: Vec<(NodeId, Instant)>,
    skipped_until: Option<Instant>,
}

impl UnreachableDomains {
    /// Records the result of a call to `node`, which may tell whether `domain` can be reached.
    pub(super) fn record(
        &mut self,
        domain: DomainTag,
        node: NodeId,
        now: Instant,
        result: CallResult,
    ) {
        match result {
            CallResult::Unreachable => self.record_failure(domain, node, now),
            CallResult::Success
            | CallResult::Refused
            | CallResult::LinkBusy
            | CallResult::ErrorResponse => self.record_success(domain),
            CallResult::Failure | CallResult::Cancelled => {}
        }
    }

    /// Records a failed connection to `node`.
    fn record_failure(&mut self, domain: DomainTag, node: NodeId, now: Instant) {
        let failures = self.domains.entry(domain).or_default();
        failures
            .failed_nodes
            .retain(|(id, at)| *id != node && now.since(*at) < FAILURE_WINDOW);
        failures.failed_nodes.push((node, now));
        if failures.failed_nodes.len() >= MIN_FAILED_NODES {
            failures.skipped_until = Some(now + FAILURE_WINDOW);
        }
    }

    /// Records a response from a node of `domain`.
    fn record_success(&mut self, domain: DomainTag) {
        self.domains.remove(&domain);
    }

    /// Returns `true` if `domain` is to be skipped.
    pub(super) fn is_unreachable(&self, domain: DomainTag, now: Instant) -> bool {
        let skipped_until = self
            .domains
            .get(&domain)
            .and_then(|failures| failures.skipped_until);
        skipped_until.is_some_and(|until| now < until)
    }
}

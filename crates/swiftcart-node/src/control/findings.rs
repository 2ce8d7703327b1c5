//! Gossips findings about requests that crash backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use slog::{info, warn};
use swiftcart_core::{Datagram, Findings, Instant, NodeId, RequestDigest};

use super::control_loop::Control;
use crate::logging::Event;

/// Interval between gossip rounds. A finding reaches all nodes after about five rounds. A caller
/// that was told that the outcome is unknown retries after 250 ms.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between digest comparisons with another node, while there are findings to compare.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Gossip schedule of findings, and the quarantined requests that were last logged.
#[derive(Debug, Default)]
pub(super) struct FindingsGossip {
    next_round: Instant,
    next_compare: Instant,
    requested: bool,
    held: BTreeSet<RequestDigest>,
}

impl Control {
    /// Forwards new findings and periodically compares digests with another node.
    pub(super) fn gossip_findings(&mut self, now: Instant) {
        if !self.findings.requested && self.members_known(now) {
            self.findings.requested = true;
            self.request_findings();
        }
        if !self.shared.suspects.is_used() {
            return;
        }
        if now >= self.findings.next_round {
            self.findings.next_round = now + GOSSIP_INTERVAL;
            self.gossip_new_findings(now);
        }
        if now >= self.findings.next_compare {
            self.findings.next_compare = now + COMPARE_INTERVAL;
            self.send_findings_digest(now);
            self.persist_quarantine(now);
        }
        self.log_held(now);
    }

    /// Merges the findings of another node and answers its request.
    pub(super) fn on_findings(&mut self, now: Instant, from: NodeId, findings: &Findings) {
        let suspects = &self.shared.suspects;
        let (sync_request, all) = suspects.with(|quarantine| {
            quarantine.merge(now, &findings.list);
            let all = findings.asks.then(|| quarantine.all(now));
            (quarantine.sync_request(findings), all)
        });
        let digest = suspects.with(|quarantine| quarantine.digest());
        for findings in Findings::pack(digest, all.unwrap_or_default()) {
            self.net.send(from, &Datagram::Findings(findings));
        }
        if let Some(sync_request) = sync_request {
            self.net.send(from, &Datagram::Findings(sync_request));
        }
    }

    /// Requests the findings of some nodes, since a process that has just started has none.
    fn request_findings(&mut self) {
        let sync_request = self
            .shared
            .suspects
            .with(|quarantine| quarantine.full_sync());
        for id in self.membership.broadcast_targets(true) {
            self.net.send(id, &Datagram::Findings(sync_request.clone()));
        }
    }

    fn gossip_new_findings(&mut self, now: Instant) {
        let suspects = &self.shared.suspects;
        let (digest, due) = suspects.with(|quarantine| {
            let due = quarantine.due_findings(now);
            (quarantine.digest(), due)
        });
        if due.list.is_empty() {
            return;
        }
        let peers = self.membership.broadcast_targets(due.own);
        for findings in Findings::pack(digest, due.list) {
            for id in &peers {
                self.net.send(*id, &Datagram::Findings(findings.clone()));
            }
        }
    }

    fn send_findings_digest(&mut self, now: Instant) {
        let digest_message = self.shared.suspects.with(|quarantine| {
            quarantine.sweep(now);
            quarantine.summary()
        });
        for id in self.membership.broadcast_targets(false).into_iter().take(1) {
            self.net
                .send(id, &Datagram::Findings(digest_message.clone()));
        }
    }

    /// Logs requests that have become quarantined, and those that no longer are.
    fn log_held(&mut self, now: Instant) {
        let held = self
            .shared
            .suspects
            .with(|quarantine| quarantine.all_held(now));
        let logger = &self.shared.logger;
        for (print, left) in &held {
            if self.findings.held.insert(*print) {
                warn!(logger, ""; "event" => Event::Quarantined, "print" => %print,
                    "ends" => self.shared.suspects.crash_count(*print),
                    "left_ms" => u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
            }
        }
        self.findings.held.retain(|print| {
            let stays = held.contains_key(print);
            if !stays {
                info!(logger, ""; "event" => Event::Released, "print" => %print);
            }
            stays
        });
        let gauge = self.shared.counters.gauge("swiftcart_quarantined");
        gauge.set(u32::try_from(held.len()).unwrap_or(u32::MAX));
    }
}

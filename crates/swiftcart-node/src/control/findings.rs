//! Spreads what nodes know of requests that end backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use slog::{info, warn};
use swiftcart_core::{Datagram, Findings, Instant, NodeId, RequestPrint};

use super::control_loop::Control;
use crate::logging::Event;

/// The time between two rounds of news. Everyone knows after some five rounds; a caller who was
/// told that the outcome is unknown comes back after 250 ms.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two comparisons with another node, while there is anything to compare.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// When findings are passed on and compared, and which requests are held as far as was logged.
#[derive(Debug, Default)]
pub(super) struct FindingsGossip {
    next_round: Instant,
    next_compare: Instant,
    requested: bool,
    held: BTreeSet<RequestPrint>,
}

impl Control {
    /// Passes on what is new, and compares the rest with others now and then.
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

    /// Takes in what another node has found, and answers what it asks.
    pub(super) fn on_findings(&mut self, now: Instant, from: NodeId, findings: &Findings) {
        let suspects = &self.shared.suspects;
        let (question, all) = suspects.with(|quarantine| {
            quarantine.hear(now, &findings.list);
            let all = findings.asks.then(|| quarantine.all(now));
            (quarantine.question(findings), all)
        });
        let digest = suspects.with(|quarantine| quarantine.digest());
        for findings in Findings::pack(digest, all.unwrap_or_default()) {
            self.net.send(from, &Datagram::Findings(findings));
        }
        if let Some(question) = question {
            self.net.send(from, &Datagram::Findings(question));
        }
    }

    /// Asks some nodes what they know: a process that has started remembers nothing.
    fn request_findings(&mut self) {
        let question = self.shared.suspects.with(|quarantine| quarantine.ask());
        for id in self.membership.broadcast_targets(true) {
            self.net.send(id, &Datagram::Findings(question.clone()));
        }
    }

    fn gossip_new_findings(&mut self, now: Instant) {
        let suspects = &self.shared.suspects;
        let (digest, due) = suspects.with(|quarantine| {
            let due = quarantine.round(now);
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
            quarantine.word()
        });
        for id in self.membership.broadcast_targets(false).into_iter().take(1) {
            self.net
                .send(id, &Datagram::Findings(digest_message.clone()));
        }
    }

    /// Logs which requests are held from now on, and which no longer.
    fn log_held(&mut self, now: Instant) {
        let held = self
            .shared
            .suspects
            .with(|quarantine| quarantine.all_held(now));
        let logger = &self.shared.logger;
        for (print, left) in &held {
            if self.findings.held.insert(*print) {
                warn!(logger, ""; "event" => Event::Quarantined, "print" => %print,
                    "ends" => self.shared.suspects.ends(*print),
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

//! Spreads what nodes know of requests that end backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use slog::{info, warn};
use swiftcart_core::{Datagram, Findings, Instant, NodeId, RequestDigest};

use super::control_loop::Control;
use crate::logging::Event;

/// The time between two rounds of news. Everyone knows after some five rounds; a caller who was
/// told that the outcome is unknown comes back after 250 ms.
const ROUND: Duration = Duration::from_millis(100);

/// The time between two comparisons with another node, while there is anything to compare.
const COMPARE: Duration = Duration::from_secs(1);

/// When findings are passed on and compared, and which requests are held as far as was logged.
#[derive(Debug, Default)]
pub(super) struct Telling {
    next_round: Instant,
    next_compare: Instant,
    asked: bool,
    held: BTreeSet<RequestDigest>,
}

impl Control {
    /// Passes on what is new, and compares the rest with others now and then.
    pub(super) fn tell_findings(&mut self, now: Instant) {
        if !self.findings.asked && self.met(now) {
            self.findings.asked = true;
            self.ask_findings();
        }
        if !self.shared.suspects.is_used() {
            return;
        }
        if now >= self.findings.next_round {
            self.findings.next_round = now + ROUND;
            self.pass_findings(now);
        }
        if now >= self.findings.next_compare {
            self.findings.next_compare = now + COMPARE;
            self.compare_findings(now);
            self.remember(now);
        }
        self.log_held(now);
    }

    /// Takes in what another node has found, and answers what it asks.
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

    /// Asks some nodes what they know: a process that has started remembers nothing.
    fn ask_findings(&mut self) {
        let sync_request = self
            .shared
            .suspects
            .with(|quarantine| quarantine.full_sync());
        for id in self.membership.broadcast_targets(true) {
            self.net.send(id, &Datagram::Findings(sync_request.clone()));
        }
    }

    fn pass_findings(&mut self, now: Instant) {
        let suspects = &self.shared.suspects;
        let (digest, due) = suspects.with(|quarantine| {
            let due = quarantine.due_findings(now);
            (quarantine.digest(), due)
        });
        if due.list.is_empty() {
            return;
        }
        let told = self.membership.broadcast_targets(due.own);
        for findings in Findings::pack(digest, due.list) {
            for id in &told {
                self.net.send(*id, &Datagram::Findings(findings.clone()));
            }
        }
    }

    fn compare_findings(&mut self, now: Instant) {
        let summary = self.shared.suspects.with(|quarantine| {
            quarantine.sweep(now);
            quarantine.summary()
        });
        for id in self.membership.broadcast_targets(false).into_iter().take(1) {
            self.net.send(id, &Datagram::Findings(summary.clone()));
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

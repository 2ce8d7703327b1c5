//! Distributed quotas: reports local usage of client accounts and keeps the ledgers that are
//! assigned to this node.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use slog::info;
use swiftcart_core::{
    AccountTag, AdmissionRatio, Datagram, Instant, MAX_USAGE_ENTRIES, NodeId, QuotaBounds,
    QuotaLedger, QuotaMessage, QuotaMeter, Usage, rank,
};

use super::control_loop::Control;
use crate::logging::Event;

/// Time for which the assignment of accounts to ledger nodes is cached.
const LEDGER_CACHE_TTL: Duration = Duration::from_secs(1);

/// Interval between two rounds of the ledger.
const LEDGER_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two sweeps of unused counters.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Ledger of this node and the cached ledger nodes of the client accounts.
#[derive(Debug)]
pub(super) struct Accounting {
    ledger: QuotaLedger,
    /// Ledger node of each account, valid for the membership hash in `cached_members`.
    ledger_nodes: HashMap<AccountTag, NodeId>,
    cached_members: (u32, Instant),
    next_round: Instant,
    next_sweep: Instant,
    /// Accounts that were logged as limited.
    limited: BTreeMap<AccountTag, u16>,
}

impl Accounting {
    pub(super) fn new(bounds: QuotaBounds) -> Self {
        Self {
            ledger: QuotaLedger::new(bounds),
            ledger_nodes: HashMap::new(),
            cached_members: (0, Instant::default()),
            next_round: Instant::default(),
            next_sweep: Instant::default(),
            limited: BTreeMap::new(),
        }
    }
}

impl Control {
    /// Sends the usage reports that are due, and repeats the limits of limited accounts to all
    /// nodes.
    pub(super) fn exchange_quotas(&mut self, now: Instant) {
        let has_accounts = !self.shared.view.load().accounts().is_empty();
        if !has_accounts {
            return;
        }
        self.refresh_ledger_nodes(now);
        let due = self.shared.quotas.with(|meter| meter.due(now));
        self.send_usage(now, &due);
        if now >= self.accounting.next_round {
            self.accounting.next_round = now + LEDGER_INTERVAL;
            self.broadcast_limits(now);
        }
        if now >= self.accounting.next_sweep {
            self.accounting.next_sweep = now + SWEEP_INTERVAL;
            self.shared.quotas.with(|meter| meter.sweep(now));
        }
    }

    /// Handles a quota message of another node.
    pub(super) fn on_quotas(&mut self, now: Instant, from: NodeId, message: &QuotaMessage) {
        match message {
            QuotaMessage::Usage(list) => {
                let answers = self.record_usage(now, from, list);
                if !answers.is_empty() {
                    let message = QuotaMessage::Admit(answers);
                    self.net.send(from, &Datagram::Quotas(message));
                }
            }
            QuotaMessage::Admit(list) => self.apply_ratios(now, from, list),
        }
    }

    fn send_usage(&mut self, now: Instant, due: &[AccountTag]) {
        let mut by_node: BTreeMap<NodeId, Vec<Usage>> = BTreeMap::new();
        for account in due {
            let node = self.ledger_node(*account);
            let report = |meter: &mut QuotaMeter| meter.report(now, *account, node);
            let usage = self.shared.quotas.with(report);
            by_node.entry(node).or_default().extend(usage);
        }
        for (node, list) in by_node {
            if node == self.shared.id {
                let answers = self.record_usage(now, node, &list);
                self.apply_ratios(now, node, &answers);
                continue;
            }
            for chunk in list.chunks(MAX_USAGE_ENTRIES) {
                let message = QuotaMessage::Usage(chunk.to_vec());
                self.net.send(node, &Datagram::Quotas(message));
            }
        }
    }

    fn record_usage(&mut self, now: Instant, from: NodeId, list: &[Usage]) -> Vec<AdmissionRatio> {
        let view = self.shared.view.load();
        let ledger = &mut self.accounting.ledger;
        let limited = list.iter().filter_map(|usage| {
            // Usage of an account that no longer has a quota is not recorded.
            let quota = view.accounts().quota(usage.account)?;
            Some(ledger.receive(now, from, usage, quota))
        });
        limited.collect()
    }

    /// Applies the ratios of accounts whose ledger runs on `from`.
    ///
    /// Other ratios are ignored: while a partition heals, the ledger of the other side knows only a
    /// part of the arrivals.
    fn apply_ratios(&mut self, now: Instant, from: NodeId, list: &[AdmissionRatio]) {
        for ratio in list {
            if self.ledger_node(ratio.account) == from {
                self.shared.quotas.with(|meter| meter.receive(now, *ratio));
            }
        }
    }

    fn broadcast_limits(&mut self, now: Instant) {
        let mut due = self.accounting.ledger.limit_updates(now);
        // The ledger of an account may have moved to another node.
        due.retain(|ratio| self.ledger_node(ratio.account) == self.shared.id);
        if due.is_empty() {
            return;
        }
        let me = self.shared.id;
        self.apply_ratios(now, me, &due);
        let others = self.membership.members().map(|member| member.id);
        let others: Vec<NodeId> = others
            .filter(|id| *id != me && self.membership.routable(*id))
            .collect();
        for chunk in due.chunks(MAX_USAGE_ENTRIES) {
            let message = Datagram::Quotas(QuotaMessage::Admit(chunk.to_vec()));
            for id in &others {
                self.net.send(*id, &message);
            }
        }
        self.log_limits(&due);
    }

    /// Logs accounts that have become limited, and those that are no longer limited.
    fn log_limits(&mut self, due: &[AdmissionRatio]) {
        for AdmissionRatio { account, permille } in due {
            let before = self.accounting.limited.get(account).copied();
            let limited = *permille < AdmissionRatio::ALL;
            if before.is_some() == limited {
                continue;
            }
            info!(self.shared.logger, ""; "event" => Event::Quota,
                "account" => account.0, "admitted_permille" => *permille);
            match limited {
                true => drop(self.accounting.limited.insert(*account, *permille)),
                false => drop(self.accounting.limited.remove(account)),
            }
        }
    }

    /// Clears the cached ledger nodes when the members change or the cache expires, and updates the
    /// share of nodes that are reachable.
    fn refresh_ledger_nodes(&mut self, now: Instant) {
        let hash = self.membership.hash();
        let (known, since) = self.accounting.cached_members;
        if known == hash && now.since(since) < LEDGER_CACHE_TTL {
            return;
        }
        self.accounting.cached_members = (hash, now);
        self.accounting.ledger_nodes.clear();
        let members = self.membership.members();
        let (mut reached, mut others) = (0_usize, 0_usize);
        for member in members {
            match self.membership.routable(member.id) {
                true => reached += 1,
                false if member.liveness.is_live() => others += 1,
                false if self.membership.is_cut(&member.domain) => others += 1,
                false => {}
            }
        }
        let nodes = (reached + others).max(1);
        let share = reached as f64 / nodes as f64;
        self.accounting.ledger.set_reachable_share(share);
        self.shared.quotas.with(|meter| meter.set_nodes(nodes));
    }

    /// Returns the ledger node of an account: the first reachable node by rank.
    fn ledger_node(&mut self, account: AccountTag) -> NodeId {
        if let Some(node) = self.accounting.ledger_nodes.get(&account) {
            return *node;
        }
        let members = self.membership.members().map(|member| member.id);
        let reached: Vec<NodeId> = members.filter(|id| self.membership.routable(*id)).collect();
        let ranked = rank(&reached, &account.0.to_string());
        let node = ranked.first().copied().unwrap_or(self.shared.id);
        self.accounting.ledger_nodes.insert(account, node);
        node
    }
}

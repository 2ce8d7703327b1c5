//! Execution counts by request id and by idempotency key.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Maximum number of entries per map of the ledger.
///
/// Executions of further entries are only counted in [`Ledger::forgotten`].
const MAX_ENTRIES: usize = 1_000_000;

/// Number of executions by result, in total or of one request or idempotency key.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExecutionCounts {
    /// Executions that acquired a slot; from then on the request may have taken effect.
    pub started: u64,
    /// Executions that completed.
    pub finished: u64,
    /// Executions stopped by a disconnect of the caller, a deadline or a truncated body.
    pub cancelled: u64,
}

impl AddAssign for ExecutionCounts {
    fn add_assign(&mut self, rhs: Self) {
        self.started += rhs.started;
        self.finished += rhs.finished;
        self.cancelled += rhs.cancelled;
    }
}

/// Execution counts of one or several backend servers.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// Counts by `Swiftcart-Request-Id`, set by the node.
    pub ids: BTreeMap<String, ExecutionCounts>,
    /// Counts by `X-Request-Id`, set by the caller.
    pub callers: BTreeMap<String, ExecutionCounts>,
    /// Counts by `Idempotency-Key`.
    pub keys: BTreeMap<String, ExecutionCounts>,
    /// Updates that were dropped because a map was full; the maps are incomplete when this is
    /// above zero.
    pub forgotten: u64,
}

impl Ledger {
    /// Returns the counts of a request.
    ///
    /// Looks `id` up among the request ids of nodes first, then among those of callers.
    #[must_use]
    pub fn by_id(&self, id: &str) -> ExecutionCounts {
        let counts = self.ids.get(id).or_else(|| self.callers.get(id));
        counts.copied().unwrap_or_default()
    }

    /// Returns the counts of an idempotency key.
    #[must_use]
    pub fn by_key(&self, key: &str) -> ExecutionCounts {
        self.keys.get(key).copied().unwrap_or_default()
    }

    /// Adds the counts of another ledger.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_standin::{ExecutionCounts, Ledger};
    ///
    /// let counts = ExecutionCounts { started: 1, finished: 1, cancelled: 0 };
    /// let mut one = Ledger::default();
    /// one.keys.insert("k".into(), counts);
    /// let mut sum = one.clone();
    /// sum.merge(&one);
    /// assert_eq!(sum.by_key("k").started, 2);
    /// ```
    pub fn merge(&mut self, other: &Self) {
        let maps = [
            (&mut self.ids, &other.ids),
            (&mut self.callers, &other.callers),
            (&mut self.keys, &other.keys),
        ];
        for (to, from) in maps {
            for (name, counts) in from {
                *to.entry(name.clone()).or_default() += *counts;
            }
        }
        self.forgotten += other.forgotten;
    }

    /// Adds `counts` to all entries of `request`.
    pub(super) fn add(&mut self, request: &RequestIds, counts: ExecutionCounts) {
        let entries = [
            (&mut self.ids, &request.id),
            (&mut self.callers, &request.caller),
            (&mut self.keys, &request.key),
        ];
        for (map, name) in entries {
            let Some(name) = name else { continue };
            let full = map.len() >= MAX_ENTRIES;
            match map.get_mut(name) {
                Some(entry) => *entry += counts,
                None if full => self.forgotten += 1,
                None => {
                    map.insert(name.clone(), counts);
                }
            }
        }
    }
}

/// Identifiers from the headers of a request.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct RequestIds {
    pub(super) id: Option<String>,
    pub(super) caller: Option<String>,
    pub(super) key: Option<String>,
}

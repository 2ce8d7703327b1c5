//! Counts every execution by request id and by idempotency key.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Entries that each of the ledger's maps keeps; later ones are only counted.
const MAX_ENTRIES: usize = 1_000_000;

/// Counts the executions of one request or under one key.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExecutionCounts {
    /// Executions that got a slot: from here on the work may have taken effect.
    pub started: u64,
    /// Executions whose work was completed.
    pub finished: u64,
    /// Executions stopped by the caller's disconnect, a deadline or a broken body.
    pub cancelled: u64,
}

impl AddAssign for ExecutionCounts {
    fn add_assign(&mut self, rhs: Self) {
        self.started += rhs.started;
        self.finished += rhs.finished;
        self.cancelled += rhs.cancelled;
    }
}

/// Holds the executions of one backend server.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// By the node's `Swiftcart-Request-Id`.
    pub ids: BTreeMap<String, ExecutionCounts>,
    /// By the caller's `X-Request-Id`.
    pub callers: BTreeMap<String, ExecutionCounts>,
    /// By `Idempotency-Key`.
    pub keys: BTreeMap<String, ExecutionCounts>,
    /// Entries that were not kept because of the bound; above zero the maps are incomplete.
    pub forgotten: u64,
}

impl Ledger {
    /// Returns the executions of one request, by the node's id or else by the caller's.
    #[must_use]
    pub fn by_id(&self, id: &str) -> ExecutionCounts {
        let counts = self.ids.get(id).or_else(|| self.callers.get(id));
        counts.copied().unwrap_or_default()
    }

    /// Returns the executions under one key.
    #[must_use]
    pub fn by_key(&self, key: &str) -> ExecutionCounts {
        self.keys.get(key).copied().unwrap_or_default()
    }

    /// Adds the executions of another backend server.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_standin::{Ledger, ExecutionCounts};
    ///
    /// let run = ExecutionCounts { started: 1, finished: 1, cancelled: 0 };
    /// let mut one = Ledger::default();
    /// one.keys.insert("k".into(), run);
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

    /// Adds `counts` to the entries of one request.
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

/// Holds the names that a request carries.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct RequestIds {
    pub(super) id: Option<String>,
    pub(super) caller: Option<String>,
    pub(super) key: Option<String>,
}

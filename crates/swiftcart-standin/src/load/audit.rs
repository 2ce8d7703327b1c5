//! Comparison of the outcomes reported to callers with the executions on the backend servers.

use serde::{Deserialize, Serialize};

use super::{CallRecord, Load, Shape};
use crate::Ledger;

/// Outcome that guarantees that a request was not executed.
const NOT_RUN: &str = "not-run";

/// Ids of the requests whose reported outcome contradicts their executions.
///
/// # Examples
///
/// ```
/// use swiftcart_standin::{Audit, Ledger, Load, Shape, CallRecord};
///
/// let load = Load::new(vec![]).with_shape(Shape::read("/"), 1);
/// let record = CallRecord { id: "1-0".into(), verdict: "good".into(), ..CallRecord::default() };
/// let audit = Audit::new(&load, &[record], &Ledger::default());
/// assert_eq!(audit.lost, ["1-0"]);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Audit {
    /// Requests reported as `not-run` without a retry, but started on a backend server.
    pub ran: Vec<String>,
    /// Requests that must start at most once (keyed or `POST`), but started more than once.
    pub twice: Vec<String>,
    /// Requests with a good response that finished on no backend server.
    pub lost: Vec<String>,
}

impl Audit {
    /// Compares the call `records` of `load` with the merged `ledger` of all backend servers.
    ///
    /// The result is valid only if the ledger has evicted no entries.
    #[must_use]
    pub fn new(load: &Load, records: &[CallRecord], ledger: &Ledger) -> Self {
        let mut audit = Self::default();
        for record in records {
            audit.add(load, record, ledger);
        }
        audit
    }

    /// Returns `true` if no request violates a guarantee.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.ran.is_empty() && self.twice.is_empty() && self.lost.is_empty()
    }

    fn add(&mut self, load: &Load, record: &CallRecord, ledger: &Ledger) {
        let shape = load.shapes.get(record.shape).map(|(shape, _)| shape);
        let runs = match (&record.key, ledger.callers.get(&record.id)) {
            (Some(key), _) => ledger.by_key(key),
            (None, runs) => runs.copied().unwrap_or_default(),
        };
        let once = matches!(shape, Some(Shape::Keyed { .. } | Shape::Post { .. }));
        let not_run = record.retries == 0 && record.outcome.as_deref() == Some(NOT_RUN);
        if not_run && runs.started > 0 {
            self.ran.push(record.id.clone());
        }
        if once && runs.started > 1 {
            self.twice.push(record.id.clone());
        }
        if record.verdict == "good" && runs.finished == 0 {
            self.lost.push(record.id.clone());
        }
    }
}

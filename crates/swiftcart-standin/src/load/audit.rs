//! Holds what callers were told against what backend servers did.

use serde::{Deserialize, Serialize};

use super::{Load, Shape, Told};
use crate::Ledger;

/// The outcome that promises that a request did not run.
const NOT_RUN: &str = "not-run";

/// Lists the requests, by the caller's id, for which a promise was broken.
///
/// # Examples
///
/// ```
/// use swiftcart_standin::{Audit, Ledger, Load, Shape, Told};
///
/// let load = Load::new(vec![]).with_shape(Shape::read("/"), 1);
/// let told = Told { id: "1-0".into(), verdict: "good".into(), ..Told::default() };
/// let audit = Audit::new(&load, &[told], &Ledger::default());
/// assert_eq!(audit.lost, ["1-0"]);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Audit {
    /// Told `not-run` at the first try, and yet started.
    pub ran: Vec<String>,
    /// Not idempotent, and started more than once.
    pub twice: Vec<String>,
    /// Told that it was done, and yet finished nowhere.
    pub lost: Vec<String>,
}

impl Audit {
    /// Compares `told`, kept by `load`, with the merged `ledger` of all backend servers.
    ///
    /// It is sound only when the ledger has forgotten nothing.
    #[must_use]
    pub fn new(load: &Load, told: &[Told], ledger: &Ledger) -> Self {
        let mut audit = Self::default();
        for told in told {
            audit.add(load, told, ledger);
        }
        audit
    }

    /// Returns whether every promise was kept.
    #[must_use]
    pub const fn is_clean(&self) -> bool {
        self.ran.is_empty() && self.twice.is_empty() && self.lost.is_empty()
    }

    fn add(&mut self, load: &Load, told: &Told, ledger: &Ledger) {
        let shape = load.shapes.get(told.shape).map(|(shape, _)| shape);
        let runs = match (&told.key, ledger.callers.get(&told.id)) {
            (Some(key), _) => ledger.by_key(key),
            (None, runs) => runs.copied().unwrap_or_default(),
        };
        let once = matches!(shape, Some(Shape::Keyed { .. } | Shape::Post { .. }));
        let not_run = told.retries == 0 && told.outcome.as_deref() == Some(NOT_RUN);
        if not_run && runs.started > 0 {
            self.ran.push(told.id.clone());
        }
        if once && runs.started > 1 {
            self.twice.push(told.id.clone());
        }
        if told.verdict == "good" && runs.finished == 0 {
            self.lost.push(told.id.clone());
        }
    }
}

//! Compared policies: the product's policies, baselines, and variants of the settings.

use std::time::Duration;

use swiftcart_core::{AdmissionSettings, BalanceSettings, LimitRule, QueueOrder};

/// Age at which the product's weight of a reported load has decayed to 1/e.
const LOAD_DECAY: Duration = Duration::from_millis(500);

/// Retry policy of an ingress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetryMode {
    /// No retries.
    Never,
    /// Retries within the product's retry budget.
    Budget,
    /// Up to three attempts of 300 ms each, without a retry budget.
    Unbounded,
}

/// Combination of balancing, admission and retry settings.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    /// Balancing settings. `None` selects round robin over all backend servers.
    pub balance: Option<BalanceSettings>,
    /// Admission control settings. `None` passes every call to the backend server at once.
    pub admission: Option<AdmissionSettings>,
    pub retries: RetryMode,
}

impl Policy {
    /// Returns the product's policies.
    fn product() -> Self {
        Self {
            name: "product",
            balance: Some(BalanceSettings::default()),
            admission: Some(AdmissionSettings::default()),
            retries: RetryMode::Budget,
        }
    }

    fn named(self, name: &'static str) -> Self {
        Self { name, ..self }
    }

    fn with_admission(self, change: impl FnOnce(&mut AdmissionSettings)) -> Self {
        let mut admission = self.admission.unwrap_or_default();
        change(&mut admission);
        Self {
            admission: Some(admission),
            ..self
        }
    }

    fn with_balance(self, change: impl FnOnce(&mut BalanceSettings)) -> Self {
        let mut balance = self.balance.unwrap_or_default();
        change(&mut balance);
        Self {
            balance: Some(balance),
            ..self
        }
    }

    /// Returns the product's policies and the baselines.
    pub fn baselines() -> Vec<Self> {
        let product = Self::product();
        let round_robin = Self {
            name: "round-robin",
            balance: None,
            admission: None,
            retries: RetryMode::Never,
        };
        vec![
            product,
            Self {
                name: "round-robin-unbounded-retries",
                retries: RetryMode::Unbounded,
                ..round_robin
            },
            round_robin,
            Self {
                name: "product-without-admission",
                admission: None,
                ..product
            },
            Self {
                name: "product-round-robin",
                balance: None,
                ..product
            },
            Self {
                name: "product-unbounded-retries",
                retries: RetryMode::Unbounded,
                ..product
            },
        ]
    }

    /// Returns the product's policies and variants with one or two changed settings.
    pub fn tuning_variants() -> Vec<Self> {
        let product = Self::product();
        vec![
            product,
            product
                .with_admission(|a| a.limit.rule = LimitRule::Fixed)
                .named("limit-fixed"),
            product
                .with_admission(|a| a.limit.tolerance = 2.0)
                .named("tolerance-2"),
            product
                .with_admission(|a| a.limit.probe_after = 1024)
                .named("patience-1024"),
            product
                .with_admission(|a| a.order = QueueOrder::AdaptiveLifo)
                .named("lifo"),
            product.with_admission(|a| a.depth = 4.0).named("depth-4"),
            product
                .with_admission(|a| a.depth = 4.0)
                .with_admission(|a| a.order = QueueOrder::AdaptiveLifo)
                .named("depth-4-lifo"),
            product
                .with_admission(|a| a.depth = 0.5)
                .named("depth-half"),
            product
                .with_balance(|b| b.load_weight = 0.0)
                .named("load-ignored"),
            product
                .with_balance(|b| b.load_weight = 4.0)
                .named("load-cost-4"),
            product
                .with_balance(|b| b.load_decay = LOAD_DECAY / 5)
                .named("load-age-100ms"),
            product
                .with_balance(|b| b.load_decay = LOAD_DECAY * 4)
                .named("load-age-2s"),
            product
                .with_balance(|b| b.failure_threshold = 2)
                .named("failures-2"),
            product
                .with_balance(|b| b.max_ejected = 0.0)
                .named("no-ejection"),
        ]
    }
}

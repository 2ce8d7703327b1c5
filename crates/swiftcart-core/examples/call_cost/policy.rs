//! The policies that are compared: what the product does, baselines, and settings weighed.

use std::time::Duration;

use swiftcart_core::{AdmissionSettings, BalanceSettings, LimitRule, QueueOrder};

/// The age at which the product counts a reported load 1/e.
const AGE: Duration = Duration::from_millis(500);

/// How an ingress tries again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Retries {
    /// Never.
    Never,
    /// As the product does.
    Budget,
    /// Up to three tries of 300 ms each, whatever it costs.
    Unbounded,
}

/// One set of policies.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    /// `None` is round robin over all.
    pub balance: Option<BalanceSettings>,
    /// `None` hands everything over at once.
    pub admission: Option<AdmissionSettings>,
    pub retries: Retries,
}

impl Policy {
    /// The product's policies.
    fn product() -> Self {
        Self {
            name: "product",
            balance: Some(BalanceSettings::default()),
            admission: Some(AdmissionSettings::default()),
            retries: Retries::Budget,
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

    /// The product and the baselines.
    pub fn compared() -> Vec<Self> {
        let product = Self::product();
        let round_robin = Self {
            name: "round-robin",
            balance: None,
            admission: None,
            retries: Retries::Never,
        };
        vec![
            product,
            Self {
                name: "round-robin-unbounded-retries",
                retries: Retries::Unbounded,
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
                retries: Retries::Unbounded,
                ..product
            },
        ]
    }

    /// The settings that were weighed against the product's.
    pub fn tuned() -> Vec<Self> {
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
                .with_balance(|b| b.load_decay = AGE / 5)
                .named("load-age-100ms"),
            product
                .with_balance(|b| b.load_decay = AGE * 4)
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

//! The figures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use swiftcart_core::Reason;

/// Holds what one run measured.
#[derive(Debug, Default)]
pub struct Report {
    pub load: f64,
    /// Seconds that were measured.
    pub seconds: f64,
    pub offered: u64,
    /// Whole answers within the deadline, a second.
    pub goodput: f64,
    pub retries: u64,
    pub timeouts: u64,
    pub refused: BTreeMap<Reason, u64>,
    pub latencies: Vec<Duration>,
    /// The longest time from a refused call's arrival to its refusal.
    pub slowest_refusal: Duration,
    /// The greatest limit of the lying backend server's guard at the end.
    pub lying_limit: u32,
}

impl Report {
    /// Closes the measurement.
    pub fn finish(mut self) -> Self {
        self.latencies.sort_unstable();
        self.goodput = self.latencies.len() as f64 / self.seconds;
        self
    }

    /// Prints one line; `peak` is the greatest goodput of the policy at any load.
    pub fn print(&self, policy: &str, peak: f64) {
        let refused: BTreeMap<_, _> = self.refused.iter().map(|(r, n)| (r.as_str(), n)).collect();
        let line = json!({
            "kind": "run",
            "policy": policy,
            "load": self.load,
            "offered_per_s": (self.offered as f64 / self.seconds).round(),
            "goodput_per_s": self.goodput.round(),
            "of_peak": round(self.goodput / peak),
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
            "p999_ms": self.quantile(0.999),
            "retries_per_call": round(self.retries as f64 / self.offered.max(1) as f64),
            "timeouts": self.timeouts,
            "slowest_refusal_ms": round(self.slowest_refusal.as_secs_f64() * 1000.0),
            "lying_limit": self.lying_limit,
            "refused": refused,
        });
        println!("{line}");
    }

    fn quantile(&self, q: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1) as f64;
        let at = (last * q).round() as usize;
        let latency = self.latencies.get(at).copied().unwrap_or_default();
        round(latency.as_secs_f64() * 1000.0)
    }
}

fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

//! Results of one simulation run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use swiftcart_core::Reason;

/// Measurements of one simulation run.
#[derive(Debug, Default)]
pub struct Report {
    /// Offered load, relative to the capacity.
    pub load: f64,
    /// Measured duration in seconds, without the warm-up.
    pub seconds: f64,
    pub offered: u64,
    /// Complete responses within the deadline, per second.
    pub goodput: f64,
    pub retries: u64,
    pub timeouts: u64,
    pub refused: BTreeMap<Reason, u64>,
    pub latencies: Vec<Duration>,
    /// Longest time from a call's arrival to its refusal.
    pub slowest_refusal: Duration,
    /// Concurrency limit of the overstating backend server's guard at the end of the run.
    pub overstated_limit: u32,
}

impl Report {
    /// Sorts the latencies and computes the goodput.
    pub fn finish(mut self) -> Self {
        self.latencies.sort_unstable();
        self.goodput = self.latencies.len() as f64 / self.seconds;
        self
    }

    /// Prints the results as one line. `peak` is the policy's highest goodput at any load.
    pub fn print(&self, policy: &str, peak: f64) {
        let refused: BTreeMap<_, _> = self.refused.iter().map(|(r, n)| (r.as_str(), n)).collect();
        let line = json!({
            "kind": "run",
            "policy": policy,
            "load": self.load,
            "offered_per_s": (self.offered as f64 / self.seconds).round(),
            "goodput_per_s": self.goodput.round(),
            "of_peak": to_thousandths(self.goodput / peak),
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
            "p999_ms": self.quantile(0.999),
            "retries_per_call": to_thousandths(self.retries as f64 / self.offered.max(1) as f64),
            "timeouts": self.timeouts,
            "slowest_refusal_ms": to_thousandths(self.slowest_refusal.as_secs_f64() * 1000.0),
            "lying_limit": self.overstated_limit,
            "refused": refused,
        });
        println!("{line}");
    }

    fn quantile(&self, q: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1) as f64;
        let at = (last * q).round() as usize;
        let latency = self.latencies.get(at).copied().unwrap_or_default();
        to_thousandths(latency.as_secs_f64() * 1000.0)
    }
}

fn to_thousandths(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}

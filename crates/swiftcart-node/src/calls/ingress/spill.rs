//! Metrics and log lines about requests that leave the failure domain of the node.

use slog::info;
use swiftcart_core::{ServiceName, SpillStatus};

use super::{Ingress, lock};
use crate::logging::{Event, ms};

/// Share of requests leaving the failure domain at which a service is logged as spilling.
const LOGGED_SHARE: f64 = 0.05;

impl Ingress {
    /// Sets the gauges of each service's spill plan, and logs the services whose requests begin or
    /// cease to leave the failure domain.
    ///
    /// Services whose overload is not decided at the ingress have no spill plan in force, and are
    /// skipped.
    pub(super) fn report_spill(&self) {
        let now = self.shared.clock.now();
        let view = self.shared.view.load();
        let mut plans: Vec<(ServiceName, SpillStatus)> = {
            let balancer = self.balancer();
            let plans = balancer.spill_status(now);
            plans.map(|(name, status)| (name.clone(), status)).collect()
        };
        plans.retain(|(name, _)| {
            let entry = view.service(name.as_str());
            entry.is_some_and(|entry| self.decides_overload(entry))
        });
        let mut spilling = lock(&self.spilling);
        for (name, status) in &plans {
            self.set_gauges(name, status);
            let changed = match status.share {
                share if share >= LOGGED_SHARE => spilling.insert(name.clone()),
                share if share > 0.0 => false,
                _ => spilling.remove(name),
            };
            if changed {
                let percent = |usage: Option<f64>| usage.map(|usage| (usage * 100.0) as u64);
                info!(self.shared.logger, ""; "event" => Event::Spill, "service" => %name,
                    "share" => percent(Some(status.share)), "near" => percent(status.near),
                    "far" => percent(status.far), "age_ms" => status.age.map(ms));
            }
        }
        spilling.retain(|name| plans.iter().any(|(known, _)| known == name));
    }

    /// Sets the gauges of one service. An unknown usage is shown as `NaN`.
    fn set_gauges(&self, service: &ServiceName, status: &SpillStatus) {
        let gauge = |name, value: f64| {
            let gauge = self.shared.counters.service_gauge(name, service.as_str());
            gauge.set(value);
        };
        gauge("swiftcart_spill_share", status.share);
        gauge(
            "swiftcart_spill_near_usage",
            status.near.unwrap_or(f64::NAN),
        );
        gauge("swiftcart_spill_far_usage", status.far.unwrap_or(f64::NAN));
    }
}

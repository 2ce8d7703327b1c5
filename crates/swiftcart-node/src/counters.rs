//! Metrics of the node: counters of refusals and retries by reason, and call latencies.
//!
//! Each node has its own recorder instead of the global one of the process, so that tests can run
//! several nodes in one process. The metrics of the call path are registered once, so that each
//! update is one atomic operation.

use std::fmt;
use std::time::Duration;

use metrics::{Counter, Gauge, Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use swiftcart_core::Outcome;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_SECS: [f64; 16] = [
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25,
    1.0, 5.0, 30.0,
];

static METADATA: Metadata<'static> =
    Metadata::new(module_path!(), Level::INFO, Some(module_path!()));

/// Stage of a call whose latency is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stage {
    /// At the ingress, from the request head to the response head.
    Ingress,
    /// At the guard, waiting for a slot.
    Queue,
    /// At the guard, from sending the request to the backend server to the response head.
    Backend,
}

/// Metrics recorder of one node, with handles for the metrics of the call path.
pub struct Counters {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    calls: [Counter; 3],
    stages: [Histogram; 3],
}

impl Stage {
    const ALL: [Self; 3] = [Self::Ingress, Self::Queue, Self::Backend];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Ingress => "ingress",
            Self::Queue => "queue",
            Self::Backend => "backend",
        }
    }
}

impl Counters {
    /// Creates the recorder and registers the metrics of the call path.
    #[must_use]
    pub fn new() -> Self {
        let builder = PrometheusBuilder::new();
        let recorder = builder
            .set_buckets(&LATENCY_BUCKETS_SECS)
            .unwrap_or_default()
            .build_recorder();
        let handle = recorder.handle();
        let outcomes = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];
        let calls = outcomes.map(|outcome| {
            let key = key("swiftcart_calls_total", "outcome", outcome.as_str());
            recorder.register_counter(&key, &METADATA)
        });
        let stages = Stage::ALL.map(|stage| {
            let key = key("swiftcart_stage_seconds", "stage", stage.as_str());
            recorder.register_histogram(&key, &METADATA)
        });
        Self {
            recorder,
            handle,
            calls,
            stages,
        }
    }

    /// Counts a call under its outcome.
    pub fn call(&self, outcome: Outcome) {
        self.calls[outcome as usize].increment(1);
    }

    /// Counts a refusal under its reason.
    pub fn refuse(&self, reason: &'static str) {
        self.count("swiftcart_refusals_total", "reason", reason);
    }

    /// Counts a retry under the reason of the failed attempt.
    pub fn retry(&self, reason: &'static str) {
        self.count("swiftcart_retries_total", "reason", reason);
    }

    /// Records the latency of one stage of a call.
    pub fn stage(&self, stage: Stage, elapsed: Duration) {
        self.stages[stage as usize].record(elapsed.as_secs_f64());
    }

    /// Adds one to the counter `name` with a label from a closed set.
    pub fn count(&self, name: &'static str, label: &'static str, value: &'static str) {
        self.add(name, label, value, 1);
    }

    /// Adds `n` to the counter `name` with a label from a closed set.
    pub fn add(&self, name: &'static str, label: &'static str, value: &'static str, n: u64) {
        let key = key(name, label, value);
        self.recorder.register_counter(&key, &METADATA).increment(n);
    }

    /// Returns the gauge `name`, which the caller of this method sets.
    pub fn gauge(&self, name: &'static str) -> Gauge {
        let key = Key::from_static_name(name);
        self.recorder.register_gauge(&key, &METADATA)
    }

    /// Returns the gauge `name` of one service. The table bounds the number of services.
    pub fn service_gauge(&self, name: &'static str, service: &str) -> Gauge {
        let labels = vec![Label::new("service", service.to_owned())];
        self.recorder
            .register_gauge(&Key::from_parts(name, labels), &METADATA)
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded latencies into their histograms, which bounds the memory of the recorder.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}

impl Default for Counters {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Counters").finish_non_exhaustive()
    }
}

fn key(name: &'static str, label: &'static str, value: &'static str) -> Key {
    Key::from_parts(name, vec![Label::from_static_parts(label, value)])
}

//! Counts and latencies of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::call::Sample;
use super::check::Verdict;

/// Maximum number of names in a map of counts; further names are counted as [`OTHER`].
const MAX_NAMES: usize = 64;
const OTHER: &str = "other";

/// Highest latency that the histograms distinguish, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Summary of a latency distribution, in microseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Result of one request as its caller saw it.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallRecord {
    /// Request id that the caller set.
    pub id: String,
    /// Idempotency key, if the request has one.
    pub key: Option<String>,
    /// Index of the request's shape in [`Load::shapes`](super::Load::shapes).
    pub shape: usize,
    /// Classification of the result: `good`, `refused`, `foreign`, `corrupt`, `broken`,
    /// `unanswered` or `timeout`.
    pub verdict: String,
    /// HTTP status of the last response.
    pub status: Option<u16>,
    /// `Swiftcart-Outcome` header of the last response.
    pub outcome: Option<String>,
    /// `Swiftcart-Reason` header of the last response.
    pub reason: Option<String>,
    /// Number of retries.
    pub retries: u32,
}

/// Counts and latencies of one load.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests scheduled for sending, including unsent ones.
    pub offered: u64,
    /// Requests not sent because the limit of pending requests was reached.
    pub unsent: u64,
    /// Retries of all requests.
    pub retries: u64,
    /// Success responses that are complete and belong to their request.
    pub good: u64,
    /// Duration of sending in seconds.
    pub seconds: f64,
    /// Good responses per second of sending.
    pub goodput: f64,
    /// Requests by classification: `good`, `refused`, `foreign`, `corrupt`, `broken`,
    /// `unanswered`, `timeout`.
    pub verdicts: BTreeMap<String, u64>,
    /// Responses by HTTP status.
    pub statuses: BTreeMap<String, u64>,
    /// Responses by `Swiftcart-Outcome`.
    pub outcomes: BTreeMap<String, u64>,
    /// Responses by `Swiftcart-Reason`.
    pub reasons: BTreeMap<String, u64>,
    /// Latency of good responses, from the scheduled send time to the end of the response.
    pub latency_us: Quantiles,
    /// Latency of all other requests, from the scheduled send time to the end of the last attempt.
    pub failure_us: Quantiles,
    /// Latency of good responses, from the first attempt to the end of the response.
    pub since_send_us: Quantiles,
    /// Latency of good responses from the scheduled send time, by the index of the shape.
    pub shapes_us: BTreeMap<usize, Quantiles>,
    /// Records of the first requests that ended, up to the load's `keep`.
    pub told: Vec<CallRecord>,
}

/// Reports of the two target groups of one interleaved run.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Report of the load's `targets`.
    pub a: Report,
    /// Report of the `others`.
    pub b: Report,
}

/// Accumulated samples of one group of targets.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) offered: u64,
    pub(super) unsent: u64,
    keep: usize,
    report: Report,
    latency: LatencyHistogram,
    failure: LatencyHistogram,
    since_send: LatencyHistogram,
    shapes: BTreeMap<usize, LatencyHistogram>,
}

/// Latency histogram in microseconds, allocated when the first value is recorded.
#[derive(Debug, Default)]
struct LatencyHistogram(Option<Histogram<u64>>);

impl Tally {
    /// Creates a tally that keeps the records of up to `keep` requests.
    pub(super) fn new(keep: usize) -> Self {
        Self {
            keep,
            ..Self::default()
        }
    }

    pub(super) fn add(&mut self, sample: Sample) {
        let answer = &sample.answer;
        let report = &mut self.report;
        report.retries += u64::from(sample.retries);
        increment(&mut report.verdicts, Some(answer.verdict.as_str()));
        increment(
            &mut report.statuses,
            answer.status.map(|s| s.to_string()).as_deref(),
        );
        increment(&mut report.outcomes, answer.outcome.as_deref());
        increment(&mut report.reasons, answer.reason.as_deref());
        match answer.verdict {
            Verdict::Good => {
                report.good += 1;
                self.latency.record(sample.latency);
                self.since_send.record(sample.since_send);
                self.shapes
                    .entry(sample.shape)
                    .or_default()
                    .record(sample.latency);
            }
            _ => self.failure.record(sample.latency),
        }
        if report.told.len() < self.keep {
            report.told.push(CallRecord::from(sample));
        }
    }

    pub(super) fn report(self, duration: Duration) -> Report {
        let seconds = duration.as_secs_f64();
        Report {
            offered: self.offered,
            unsent: self.unsent,
            seconds,
            goodput: self.report.good as f64 / seconds,
            latency_us: self.latency.quantiles(),
            failure_us: self.failure.quantiles(),
            since_send_us: self.since_send.quantiles(),
            shapes_us: self
                .shapes
                .iter()
                .map(|(s, h)| (*s, h.quantiles()))
                .collect(),
            ..self.report
        }
    }
}

impl From<Sample> for CallRecord {
    fn from(sample: Sample) -> Self {
        Self {
            id: sample.id,
            key: sample.key,
            shape: sample.shape,
            verdict: sample.answer.verdict.as_str().to_owned(),
            status: sample.answer.status,
            outcome: sample.answer.outcome,
            reason: sample.answer.reason,
            retries: sample.retries,
        }
    }
}

impl LatencyHistogram {
    fn record(&mut self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(MAX_LATENCY_US);
        if self.0.is_none() {
            // These constant bounds are valid for the library, so creation does not fail.
            self.0 = Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(us);
        }
    }

    fn quantiles(&self) -> Quantiles {
        self.0
            .as_ref()
            .map_or_else(Quantiles::default, |h| Quantiles {
                count: h.len(),
                mean: h.mean(),
                p50: h.value_at_quantile(0.5),
                p99: h.value_at_quantile(0.99),
                p999: h.value_at_quantile(0.999),
                max: h.max(),
            })
    }
}

fn increment(counts: &mut BTreeMap<String, u64>, name: Option<&str>) {
    let Some(name) = name else { return };
    let full = counts.len() >= MAX_NAMES && !counts.contains_key(name);
    let name = if full { OTHER } else { name };
    match counts.get_mut(name) {
        Some(n) => *n += 1,
        None => {
            counts.insert(name.to_owned(), 1);
        }
    }
}

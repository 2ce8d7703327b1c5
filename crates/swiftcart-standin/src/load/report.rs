//! What a load brought, counted and measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::call::Sample;
use super::check::Verdict;

/// Names that each map of counts keeps; later ones are counted under [`OTHER`].
const NAMES: usize = 64;
const OTHER: &str = "other";

/// Longest latency that is told apart, in microseconds: one hour.
const LONGEST_US: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// Holds quantiles in microseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many were measured.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The greatest.
    pub max: u64,
}

/// Holds what became of one request.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    /// The caller's id.
    pub id: String,
    /// The idempotency key, if it had one.
    pub key: Option<String>,
    /// Index of its shape in the mix.
    pub shape: usize,
    /// What came back: `good`, `refused`, `foreign`, `corrupt`, `broken`, `unanswered` or
    /// `timeout`.
    pub verdict: String,
    /// The status of the last answer.
    pub status: Option<u16>,
    /// The last answer's `Swiftcart-Outcome`.
    pub outcome: Option<String>,
    /// The last answer's `Swiftcart-Reason`.
    pub reason: Option<String>,
    /// How often it was sent again.
    pub retries: u32,
}

/// Holds the counts and latencies of one load.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that were due.
    pub offered: u64,
    /// Requests not sent because too many were pending.
    pub unsent: u64,
    /// Repeats.
    pub retries: u64,
    /// Answers that were successes, whole and the caller's own.
    pub good: u64,
    /// Seconds over which requests were sent.
    pub seconds: f64,
    /// Good answers for each second of sending.
    pub goodput: f64,
    /// Requests by what came back: `good`, `refused`, `foreign`, `corrupt`, `broken`,
    /// `unanswered`, `timeout`.
    pub verdicts: BTreeMap<String, u64>,
    /// Answers by status.
    pub statuses: BTreeMap<String, u64>,
    /// Answers by `Swiftcart-Outcome`.
    pub outcomes: BTreeMap<String, u64>,
    /// Answers by `Swiftcart-Reason`.
    pub reasons: BTreeMap<String, u64>,
    /// Good answers: from the intended time to the answer's end.
    pub latency_us: Quantiles,
    /// Everything else: from the intended time to the end of waiting.
    pub failure_us: Quantiles,
    /// Good answers: from the sending to the answer's end.
    pub since_send_us: Quantiles,
    /// Good answers by the index of their shape in the mix: from the intended time.
    pub shapes_us: BTreeMap<usize, Quantiles>,
    /// The first requests to end, as many as the load keeps.
    pub told: Vec<Told>,
}

/// Holds two reports of one interleaved run.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The load's own targets.
    pub a: Report,
    /// The other targets.
    pub b: Report,
}

/// Collects the samples of one group of targets.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) offered: u64,
    pub(super) unsent: u64,
    keep: usize,
    report: Report,
    latency: Micros,
    failure: Micros,
    since_send: Micros,
    shapes: BTreeMap<usize, Micros>,
}

/// Histogram of microseconds, allocated with its first value.
#[derive(Debug, Default)]
struct Micros(Option<Histogram<u64>>);

impl Tally {
    /// Creates a tally that keeps up to `keep` requests.
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
        bump(&mut report.verdicts, Some(answer.verdict.as_str()));
        bump(
            &mut report.statuses,
            answer.status.map(|s| s.to_string()).as_deref(),
        );
        bump(&mut report.outcomes, answer.outcome.as_deref());
        bump(&mut report.reasons, answer.reason.as_deref());
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
            report.told.push(Told::from(sample));
        }
    }

    pub(super) fn report(self, span: Duration) -> Report {
        let seconds = span.as_secs_f64();
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

impl From<Sample> for Told {
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

impl Micros {
    fn record(&mut self, time: Duration) {
        let us = u64::try_from(time.as_micros()).unwrap_or(LONGEST_US);
        if self.0.is_none() {
            // The bounds are constants that the library accepts.
            self.0 = Histogram::new_with_max(LONGEST_US, DIGITS).ok();
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

fn bump(counts: &mut BTreeMap<String, u64>, name: Option<&str>) {
    let Some(name) = name else { return };
    let full = counts.len() >= NAMES && !counts.contains_key(name);
    let name = if full { OTHER } else { name };
    match counts.get_mut(name) {
        Some(n) => *n += 1,
        None => {
            counts.insert(name.to_owned(), 1);
        }
    }
}

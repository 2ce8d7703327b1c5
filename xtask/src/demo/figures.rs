//! Measurements of the demo and the results of its guarantee checks.

use std::fmt;
use std::time::Duration;

use swiftcart_standin::{CallRecord, Quantiles, Report};

use crate::Verdict;

/// Maximum number of failed calls to list for one load.
const MAX_LISTED: usize = 4;

/// Measurements and checked guarantees, in the order of the run.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    lines: Vec<Line>,
}

#[derive(Debug)]
enum Line {
    Section(&'static str),
    Figure(String, String),
    Guarantee {
        text: String,
        measured: String,
        holds: bool,
    },
}

impl Figures {
    /// Begins a section of the report.
    pub(crate) fn section(&mut self, title: &'static str) {
        println!("==> {title}");
        self.lines.push(Line::Section(title));
    }

    /// Adds a measurement that does not affect the verdict.
    pub(crate) fn figure(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.lines.push(Line::Figure(name.into(), value.into()));
    }

    /// Adds a checked guarantee with the measurement behind its result.
    pub(crate) fn guarantee(
        &mut self,
        text: impl Into<String>,
        measured: impl fmt::Display,
        holds: bool,
    ) {
        let (text, measured) = (text.into(), measured.to_string());
        if !holds {
            println!("    BROKEN: {text}: {measured}");
        }
        self.lines.push(Line::Guarantee {
            text,
            measured,
            holds,
        });
    }

    /// Adds the results of the calls of a load.
    pub(crate) fn calls(&mut self, name: &str, report: &Report) {
        let list = |counts: &std::collections::BTreeMap<String, u64>| {
            let pairs = counts.iter().map(|(name, count)| format!("{name} {count}"));
            pairs.collect::<Vec<_>>().join(", ")
        };
        let value = format!(
            "{} sent, {}; {}",
            report.offered,
            list(&report.verdicts),
            quantiles(&report.latency_us)
        );
        self.figure(name, value);
        for told in report
            .told
            .iter()
            .filter(|t| t.verdict != "good")
            .take(MAX_LISTED)
        {
            self.figure(format!("{name}, failed call"), format_failed(told));
        }
        if !report.outcomes.is_empty() {
            self.figure(format!("{name}, reported outcomes"), list(&report.outcomes));
        }
        if !report.reasons.is_empty() {
            self.figure(format!("{name}, reported reasons"), list(&report.reasons));
        }
    }

    /// Returns [`Verdict::Passed`] if every guarantee held.
    pub(crate) fn verdict(&self) -> Verdict {
        self.broken().next().is_none().into()
    }

    /// Returns the violated guarantees.
    pub(crate) fn broken(&self) -> impl Iterator<Item = &str> {
        self.lines.iter().filter_map(|line| match line {
            Line::Guarantee {
                text, holds: false, ..
            } => Some(text.as_str()),
            _ => None,
        })
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            match line {
                Line::Section(title) => writeln!(f, "\n{title}")?,
                Line::Figure(name, value) => writeln!(f, "        {name}: {value}")?,
                Line::Guarantee {
                    text,
                    measured,
                    holds: true,
                } => {
                    writeln!(f, "  held  {text}: {measured}")?;
                }
                Line::Guarantee {
                    text,
                    measured,
                    holds: false,
                } => {
                    writeln!(f, "BROKEN  {text}: {measured}")?;
                }
            }
        }
        Ok(())
    }
}

/// Formats a failed call.
fn format_failed(told: &CallRecord) -> String {
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
    format!(
        "{} (shape {}, key {}): {}, status {}, outcome {}, reason {}, {} retries",
        told.id,
        told.shape,
        text(&told.key),
        told.verdict,
        told.status.unwrap_or(0),
        text(&told.outcome),
        text(&told.reason),
        told.retries
    )
}

/// Formats p50 and p99.
pub(crate) fn quantiles(q: &Quantiles) -> String {
    format!("p50 {} ms, p99 {} ms", millis(q.p50), millis(q.p99))
}

/// Formats microseconds as milliseconds, without a unit.
pub(crate) fn millis(us: u64) -> String {
    format!("{:.2}", us as f64 / 1000.0)
}

/// Formats a duration in seconds.
pub(crate) fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

//! What the demo measured and which promises held.

use std::fmt;
use std::time::Duration;

use swiftcart_standin::{Quantiles, Report, Told};

use crate::Verdict;

/// Failed calls of one load that the report shows one by one.
const SHOWN: usize = 4;

/// Collects the demo's figures and checked promises, in the order of the run.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    lines: Vec<Line>,
}

#[derive(Debug)]
enum Line {
    Section(&'static str),
    Figure(String, String),
    Promise {
        text: String,
        measured: String,
        holds: bool,
    },
}

impl Figures {
    /// Begins a part of the report.
    pub(crate) fn section(&mut self, title: &'static str) {
        println!("==> {title}");
        self.lines.push(Line::Section(title));
    }

    /// Adds a figure that decides nothing.
    pub(crate) fn figure(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.lines.push(Line::Figure(name.into(), value.into()));
    }

    /// Adds a promise with what was measured of it.
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
        self.lines.push(Line::Promise {
            text,
            measured,
            holds,
        });
    }

    /// Adds what became of the calls of a load.
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
            .take(SHOWN)
        {
            self.figure(format!("{name}, one that failed"), failed(told));
        }
        if !report.outcomes.is_empty() {
            self.figure(format!("{name}, outcomes told"), list(&report.outcomes));
        }
        if !report.reasons.is_empty() {
            self.figure(format!("{name}, reasons told"), list(&report.reasons));
        }
    }

    /// Returns whether every promise held.
    pub(crate) fn verdict(&self) -> Verdict {
        self.broken().next().is_none().into()
    }

    /// Returns the promises that broke.
    pub(crate) fn broken(&self) -> impl Iterator<Item = &str> {
        self.lines.iter().filter_map(|line| match line {
            Line::Promise {
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
                Line::Promise {
                    text,
                    measured,
                    holds: true,
                } => {
                    writeln!(f, "  held  {text}: {measured}")?;
                }
                Line::Promise {
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

/// Returns what became of a failed call, in words.
fn failed(told: &Told) -> String {
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
    format!(
        "{} (shape {}, key {}): {}, status {}, outcome {}, reason {}, sent again {} times",
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

/// Returns p50 and p99 in words.
pub(crate) fn quantiles(q: &Quantiles) -> String {
    format!("p50 {} ms, p99 {} ms", millis(q.p50), millis(q.p99))
}

/// Returns microseconds as milliseconds.
pub(crate) fn millis(us: u64) -> String {
    format!("{:.2}", us as f64 / 1000.0)
}

/// Returns a duration in seconds.
pub(crate) fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

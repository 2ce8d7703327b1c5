//! Markdown report of a run, with a table and a plot for each metric.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::Path;

use super::fit::Fit;
use super::plot::{self, Line};
use super::results::{Results, Series};
use crate::Error;

/// Prefixes of the names of benches whose values can be extrapolated with a straight line.
const FITTED_BENCHES: [&str; 2] = ["capacity", "convergence"];

/// Lines of each chart, by bench, metric and unit.
type Charts<'a> = BTreeMap<(&'a str, &'a str, &'a str), Vec<Line<'a>>>;

/// Writes `results.json`, `report.md` and the plots into `dir`.
///
/// # Errors
///
/// Returns an [`Error`] if a file cannot be written.
pub fn write(results: &Results, dir: &Path) -> Result<(), Error> {
    fs::create_dir_all(dir).map_err(|e| Error::File(dir.to_owned(), e))?;
    results.write(&dir.join("results.json"))?;
    let charts = charts(results);
    for ((bench, metric, unit), lines) in &charts {
        let path = dir.join(plot_file(bench, metric));
        let axis = axis(results, bench);
        plot::draw(&path, &format!("{bench}: {metric}"), axis, unit, lines)?;
    }
    let path = dir.join("report.md");
    fs::write(&path, render(results, &charts)).map_err(|e| Error::File(path, e))
}

/// Returns a Markdown table that compares the medians of two runs.
///
/// Series and sizes that only one of the runs measured are left out.
#[must_use]
pub fn compare(old: &Results, new: &Results) -> String {
    let (old_medians, new_medians) = (old.medians(), new.medians());
    let mut text = format!(
        "# Comparison\n\nold: {}\nnew: {}\n\n",
        describe_environment(old),
        describe_environment(new)
    );
    text += "| bench | metric | subject | size | old | new | change |\n";
    text += "|---|---|---|--:|--:|--:|--:|\n";
    for (series, row) in &old_medians {
        for (size, old_value) in row {
            let new_value = new_medians.get(series).and_then(|row| value_at(row, *size));
            let Some(new_value) = new_value else { continue };
            let Series {
                bench,
                metric,
                unit,
                subject,
            } = series;
            let change = (new_value / old_value - 1.0) * 100.0;
            let _ = writeln!(
                text,
                "| {bench} | {metric} ({unit}) | {subject} | {size} | {old_value:.3} | {new_value:.3} | {change:+.1} % |"
            );
        }
    }
    text
}

fn value_at(row: &[(f64, f64)], size: f64) -> Option<f64> {
    let found = row.iter().find(|(other, _)| *other == size);
    found.map(|(_, value)| *value)
}

fn charts(results: &Results) -> Charts<'_> {
    let mut charts = Charts::new();
    for (series, points) in results.medians() {
        let key = (
            series.bench.as_str(),
            series.metric.as_str(),
            series.unit.as_str(),
        );
        let subject = series.subject.as_str();
        charts
            .entry(key)
            .or_default()
            .push(Line { subject, points });
    }
    charts
}

fn render(results: &Results, charts: &Charts<'_>) -> String {
    let mut text = format!("# Bench\n\n{}\n\n", describe_environment(results));
    for note in &results.notes {
        let _ = writeln!(text, "- {note}");
    }
    for ((bench, metric, unit), lines) in charts {
        let _ = writeln!(text, "\n## {bench}: {metric} ({unit})\n");
        text += &table(axis(results, bench), lines);
        if FITTED_BENCHES.iter().any(|name| bench.starts_with(name)) {
            text += &fit_list(lines);
        }
        let _ = writeln!(text, "\n![{bench}: {metric}]({})", plot_file(bench, metric));
    }
    text
}

fn table(axis: &str, lines: &[Line<'_>]) -> String {
    let subjects: Vec<_> = lines.iter().map(|line| line.subject).collect();
    let mut text = format!("| {axis} | {} |\n", subjects.join(" | "));
    let _ = writeln!(text, "|--:|{}", "--:|".repeat(lines.len()));
    let all = lines.iter().flat_map(|line| &line.points);
    let sizes: BTreeSet<_> = all.map(|(size, _)| size.to_bits()).collect();
    for size in sizes.into_iter().map(f64::from_bits) {
        let cells = lines.iter().map(|line| match value_at(&line.points, size) {
            Some(value) => format!("{value:.3}"),
            None => "-".to_owned(),
        });
        let cells: Vec<_> = cells.collect();
        let _ = writeln!(text, "| {size} | {} |", cells.join(" | "));
    }
    text
}

/// Formats the least-squares line of each subject as a Markdown list.
///
/// Subjects without a fit are left out. The result is empty if no subject has a fit.
fn fit_list(lines: &[Line<'_>]) -> String {
    let fit = |line: &Line<'_>| {
        let fit = Fit::through(&line.points)?;
        let (intercept, slope, r2) = (fit.intercept, fit.slope, fit.r2);
        Some(format!(
            "- {}: {intercept:.4} + {slope:.6} x, R2 {r2:.3}\n",
            line.subject
        ))
    };
    let fits: String = lines.iter().filter_map(fit).collect();
    match fits.is_empty() {
        true => fits,
        false => format!("\nLeast-squares lines:\n\n{fits}"),
    }
}

fn describe_environment(results: &Results) -> String {
    let environment = &results.setting;
    format!(
        "commit {}, {} processors of {}, {} MiB of memory, initial load average {}, \
         started at Unix time {}",
        environment.commit,
        environment.cores,
        environment.processor,
        environment.memory_mib,
        environment.load,
        environment.at
    )
}

fn axis<'a>(results: &'a Results, bench: &str) -> &'a str {
    results.axes.get(bench).map_or("size", String::as_str)
}

fn plot_file(bench: &str, metric: &str) -> String {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = metric.chars().map(sanitize).collect();
    format!("{bench}-{name}.svg")
}

//! The readable report of a run: tables in Markdown and a plot for each metric.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::fs;
use std::path::Path;

use super::fit::Fit;
use super::plot::{self, Line};
use super::results::{Results, Series};
use crate::Error;

/// Benches whose horizontal axis is a size that a straight line may be carried to.
const SCALING: [&str; 2] = ["capacity", "convergence"];

/// Rows and their lines, by metric.
type Charts<'a> = BTreeMap<(&'a str, &'a str, &'a str), Vec<Line<'a>>>;

/// Writes `results.json`, `report.md` and the plots into `dir`.
///
/// # Errors
///
/// Returns an [`Error`] when a file cannot be written.
pub fn write(results: &Results, dir: &Path) -> Result<(), Error> {
    fs::create_dir_all(dir).map_err(|e| Error::File(dir.to_owned(), e))?;
    results.write(&dir.join("results.json"))?;
    let charts = charts(results);
    for ((bench, metric, unit), lines) in &charts {
        let path = dir.join(file(bench, metric));
        let axis = axis(results, bench);
        plot::draw(&path, &format!("{bench}: {metric}"), axis, unit, lines)?;
    }
    let path = dir.join("report.md");
    fs::write(&path, text(results, &charts)).map_err(|e| Error::File(path, e))
}

/// Returns both results side by side, as a table in Markdown.
#[must_use]
pub fn compare(old: &Results, new: &Results) -> String {
    let (before, after) = (old.medians(), new.medians());
    let mut text = format!(
        "# Comparison\n\nold: {}\nnew: {}\n\n",
        setting(old),
        setting(new)
    );
    text += "| bench | metric | subject | size | old | new | change |\n";
    text += "|---|---|---|--:|--:|--:|--:|\n";
    for (series, row) in &before {
        for (size, was) in row {
            let is = after.get(series).and_then(|row| at(row, *size));
            let Some(is) = is else { continue };
            let Series {
                bench,
                metric,
                unit,
                subject,
            } = series;
            let change = (is / was - 1.0) * 100.0;
            let _ = writeln!(
                text,
                "| {bench} | {metric} ({unit}) | {subject} | {size} | {was:.3} | {is:.3} | {change:+.1} % |"
            );
        }
    }
    text
}

fn at(row: &[(f64, f64)], size: f64) -> Option<f64> {
    let found = row.iter().find(|(s, _)| *s == size);
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

fn text(results: &Results, charts: &Charts<'_>) -> String {
    let mut text = format!("# Bench\n\n{}\n\n", setting(results));
    for note in &results.notes {
        let _ = writeln!(text, "- {note}");
    }
    for ((bench, metric, unit), lines) in charts {
        let _ = writeln!(text, "\n## {bench}: {metric} ({unit})\n");
        text += &table(axis(results, bench), lines);
        if SCALING.iter().any(|name| bench.starts_with(name)) {
            text += &fits(lines);
        }
        let _ = writeln!(text, "\n![{bench}: {metric}]({})", file(bench, metric));
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
        let cells = lines.iter().map(|line| match at(&line.points, size) {
            Some(value) => format!("{value:.3}"),
            None => "-".to_owned(),
        });
        let cells: Vec<_> = cells.collect();
        let _ = writeln!(text, "| {size} | {} |", cells.join(" | "));
    }
    text
}

/// Returns the straight line through each subject's points, in words.
fn fits(lines: &[Line<'_>]) -> String {
    let fit = |line: &Line<'_>| {
        let fit = Fit::through(&line.points)?;
        let (base, slope, r2) = (fit.base, fit.slope, fit.r2);
        Some(format!(
            "- {}: {base:.4} + {slope:.6} x, R2 {r2:.3}\n",
            line.subject
        ))
    };
    let fits: String = lines.iter().filter_map(fit).collect();
    match fits.is_empty() {
        true => fits,
        false => format!("\nLeast-squares lines:\n\n{fits}"),
    }
}

fn setting(results: &Results) -> String {
    let s = &results.setting;
    format!(
        "commit {}, {} processors of {}, {} MiB, load average {} at the start, Unix time {}",
        s.commit, s.cores, s.processor, s.memory_mib, s.load, s.at
    )
}

fn axis<'a>(results: &'a Results, bench: &str) -> &'a str {
    results.axes.get(bench).map_or("size", String::as_str)
}

fn file(bench: &str, metric: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    let name: String = metric.chars().map(plain).collect();
    format!("{bench}-{name}.svg")
}

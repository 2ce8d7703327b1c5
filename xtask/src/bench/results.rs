//! What a bench measured, kept as JSON so that two commits can be compared.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::command::root;
use crate::{Error, proc};

/// Tells where and on what a bench ran.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setting {
    /// The commit, with `-dirty` after it when files were changed.
    pub commit: String,
    /// The time of the run, in seconds since 1970.
    pub at: u64,
    /// The machine's processor.
    pub processor: String,
    /// Processors that the run could use.
    pub cores: usize,
    /// The machine's memory in MiB.
    pub memory_mib: u64,
    /// The load average when the run began: what else the machine did.
    pub load: String,
}

/// Names one row of the results: the points of one line in a plot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Series {
    /// The bench, for example `convergence`.
    pub bench: String,
    /// What was measured, for example `convergence p99`.
    pub metric: String,
    /// The unit of the values.
    pub unit: String,
    /// Who was measured: this project or a baseline.
    pub subject: String,
}

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The row that it belongs to.
    #[serde(flatten)]
    pub series: Series,
    /// What the measurement was made at, on the horizontal axis.
    pub size: f64,
    /// The value.
    pub value: f64,
}

/// Holds everything that a run measured.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Where and on what.
    pub setting: Setting,
    /// Each bench's horizontal axis, in words.
    pub axes: BTreeMap<String, String>,
    /// Every value, in the order measured.
    pub points: Vec<Point>,
    /// What a reader has to know about the figures.
    pub notes: Vec<String>,
}

impl Setting {
    /// Returns the present machine and commit.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the system does not tell.
    pub fn now() -> Result<Self, Error> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            commit: git(&[
                "describe",
                "--always",
                "--dirty",
                "--abbrev=12",
                "--exclude=*",
            ]),
            at: since.map_or(0, |since| since.as_secs()),
            processor: proc::processor()?,
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mib: proc::memory_kib()? / 1024,
            load: format!("{:.2}", proc::load_average()?),
        })
    }
}

impl Series {
    /// Creates the name of a row.
    #[must_use]
    pub fn new(bench: &str, subject: &str, metric: &str, unit: &str) -> Self {
        Self {
            bench: bench.to_owned(),
            metric: metric.to_owned(),
            unit: unit.to_owned(),
            subject: subject.to_owned(),
        }
    }
}

impl Results {
    /// Creates empty results of a run that begins now.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the system does not tell where it runs.
    pub fn new() -> Result<Self, Error> {
        Ok(Self {
            setting: Setting::now()?,
            ..Self::default()
        })
    }

    /// Adds one value.
    pub fn add(&mut self, series: Series, size: f64, value: f64) {
        println!(
            "    {} {} at {size}: {value:.3} {} ({})",
            series.bench, series.metric, series.unit, series.subject
        );
        let point = Point {
            series,
            size,
            value,
        };
        self.points.push(point);
    }

    /// Returns each row with the median of the values at each size, in order.
    ///
    /// A run repeats a measurement in several rounds; the median is what a report shows.
    #[must_use]
    pub fn medians(&self) -> BTreeMap<&Series, Vec<(f64, f64)>> {
        let mut rows: BTreeMap<_, Vec<(f64, Vec<f64>)>> = BTreeMap::new();
        for point in &self.points {
            let row = rows.entry(&point.series).or_default();
            match row.iter_mut().find(|(size, _)| *size == point.size) {
                Some((_, values)) => values.push(point.value),
                None => row.push((point.size, vec![point.value])),
            }
        }
        let collapse = |row: Vec<(f64, Vec<f64>)>| {
            let mut row: Vec<_> = row.into_iter().map(|(size, v)| (size, median(v))).collect();
            row.sort_by(|a, b| a.0.total_cmp(&b.0));
            row
        };
        rows.into_iter()
            .map(|(s, row)| (s, collapse(row)))
            .collect()
    }

    /// Reads results from the file `path`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|e| Error::File(path.to_owned(), e))?;
        serde_json::from_str(&text).map_err(|e| Error::Content(path.to_owned(), e.to_string()))
    }

    /// Writes the results to the file `path`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self);
        let text = text.map_err(|e| Error::Content(path.to_owned(), e.to_string()))?;
        fs::write(path, text).map_err(|e| Error::File(path.to_owned(), e))
    }
}

/// Returns the value in the middle, or the mean of the two.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

/// Returns the value that a share `q` of the values does not exceed (nearest rank).
#[must_use]
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let rank = (q * values.len() as f64).ceil() as usize;
    let found = values.get(rank.max(1) - 1);
    found.copied().unwrap_or(f64::NAN)
}

fn git(args: &[&str]) -> String {
    let output = Command::new("git").args(args).current_dir(root()).output();
    let text = output.map(|out| String::from_utf8_lossy(&out.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "unknown".to_owned())
}

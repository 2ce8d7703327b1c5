//! Bench results, stored as JSON so that the results of two commits can be compared.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::command::root;
use crate::{Error, proc};

/// Commit and system that a bench ran on.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnvironment {
    /// Commit hash, with the suffix `-dirty` if the work tree had uncommitted changes.
    pub commit: String,
    /// Start time of the run, in Unix seconds.
    pub at: u64,
    /// Processor model.
    pub processor: String,
    /// Number of processors available to the run.
    pub cores: usize,
    /// Total system memory in MiB.
    pub memory_mib: u64,
    /// Load average at the start of the run, which shows the load from other processes.
    pub load: String,
}

/// Identifier of a data series, which is drawn as one line of a plot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Series {
    /// Name of the bench, for example `convergence`.
    pub bench: String,
    /// Name of the measured quantity, for example `added p99`.
    pub metric: String,
    /// Unit of the values.
    pub unit: String,
    /// Measured system, role or request path, for example a baseline.
    pub subject: String,
}

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Series that the value belongs to.
    #[serde(flatten)]
    pub series: Series,
    /// Position on the horizontal axis, for example the number of nodes.
    pub size: f64,
    /// Measured value, in the unit of the series.
    pub value: f64,
}

/// Results of one run.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Commit and system that the run measured.
    pub setting: RunEnvironment,
    /// Label of the horizontal axis, by bench.
    pub axes: BTreeMap<String, String>,
    /// Measured values, in the order of measurement.
    pub points: Vec<Measurement>,
    /// Explanations and limitations of the measurements, for the reader of the report.
    pub notes: Vec<String>,
}

impl RunEnvironment {
    /// Returns the current commit and system.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the system information cannot be read.
    pub fn current() -> Result<Self, Error> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            commit: git_output(&[
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
    /// Creates a series identifier.
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
    /// Creates empty results for a run that starts now.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the system information cannot be read.
    pub fn new() -> Result<Self, Error> {
        Ok(Self {
            setting: RunEnvironment::current()?,
            ..Self::default()
        })
    }

    /// Prints a value and appends it to the results.
    pub fn record(&mut self, series: Series, size: f64, value: f64) {
        println!(
            "    {} {} at {size}: {value:.3} {} ({})",
            series.bench, series.metric, series.unit, series.subject
        );
        let measurement = Measurement {
            series,
            size,
            value,
        };
        self.points.push(measurement);
    }

    /// Returns each series with the median value at each size, sorted by size.
    ///
    /// A run makes each measurement once per round, and the report shows the median of the rounds.
    #[must_use]
    pub fn medians(&self) -> BTreeMap<&Series, Vec<(f64, f64)>> {
        let mut values_by_series: BTreeMap<_, Vec<(f64, Vec<f64>)>> = BTreeMap::new();
        for measurement in &self.points {
            let series_values = values_by_series.entry(&measurement.series).or_default();
            match series_values
                .iter_mut()
                .find(|(size, _)| *size == measurement.size)
            {
                Some((_, values)) => values.push(measurement.value),
                None => series_values.push((measurement.size, vec![measurement.value])),
            }
        }
        let medians_by_size = |series_values: Vec<(f64, Vec<f64>)>| {
            let mut series_values: Vec<_> = series_values
                .into_iter()
                .map(|(size, v)| (size, median(v)))
                .collect();
            series_values.sort_by(|a, b| a.0.total_cmp(&b.0));
            series_values
        };
        values_by_series
            .into_iter()
            .map(|(s, series_values)| (s, medians_by_size(series_values)))
            .collect()
    }

    /// Reads results from the JSON file `path`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file if it cannot be read or parsed.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|e| Error::File(path.to_owned(), e))?;
        serde_json::from_str(&text).map_err(|e| Error::Content(path.to_owned(), e.to_string()))
    }

    /// Writes the results to `path` as JSON.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the file if it cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self);
        let text = text.map_err(|e| Error::Content(path.to_owned(), e.to_string()))?;
        fs::write(path, text).map_err(|e| Error::File(path.to_owned(), e))
    }
}

/// Returns the median, which is the mean of the two middle values for an even count.
///
/// Returns NaN if `values` is empty.
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

/// Returns the `q`-quantile of the values by the nearest-rank method.
///
/// Returns NaN if `values` is empty.
#[must_use]
pub fn quantile(values: &[f64], q: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let rank = (q * values.len() as f64).ceil() as usize;
    let found = values.get(rank.max(1) - 1);
    found.copied().unwrap_or(f64::NAN)
}

fn git_output(args: &[&str]) -> String {
    let output = Command::new("git").args(args).current_dir(root()).output();
    let text = output.map(|out| String::from_utf8_lossy(&out.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "unknown".to_owned())
}

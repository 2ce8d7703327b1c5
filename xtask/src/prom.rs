//! Reads metrics in Prometheus' text format.

use std::collections::BTreeMap;

/// Holds the samples of one scrape, by name and labels as printed.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Scrape(BTreeMap<String, f64>);

impl Scrape {
    /// Reads every sample of `text`; lines that are no samples are skipped.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "# TYPE calls counter\ncalls{to=\"a b\"} 2\ncalls{to=\"c\"} 3\n";
    /// assert_eq!(xtask::Scrape::parse(text).sum("calls", &[]), 5.0);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Self {
        Self(text.lines().filter_map(sample).collect())
    }

    /// Returns the sum of the samples of `name` that have all of `labels`.
    #[must_use]
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let samples = self.0.iter();
        let wanted = samples.filter(|(series, _)| matches(series, name, labels));
        wanted.map(|(_, value)| value).sum()
    }

    /// Returns the values of `label` over the samples of `name`, with their sums.
    #[must_use]
    pub fn by(&self, name: &str, label: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (series, value) in &self.0 {
            if let (true, Some(at)) = (matches(series, name, &[]), value_of(series, label)) {
                *sums.entry(at.to_owned()).or_default() += value;
            }
        }
        sums
    }
}

fn sample(line: &str) -> Option<(String, f64)> {
    let line = line.trim();
    if line.starts_with('#') {
        return None;
    }
    let (series, value) = line.rsplit_once(' ')?;
    Some((series.to_owned(), value.parse().ok()?))
}

fn matches(series: &str, name: &str, labels: &[(&str, &str)]) -> bool {
    let own = series.split_once('{').map_or(series, |(own, _)| own);
    let has = |(label, value): &(&str, &str)| value_of(series, label) == Some(*value);
    own == name && labels.iter().all(has)
}

fn value_of<'a>(series: &'a str, label: &str) -> Option<&'a str> {
    let (_, labels) = series.split_once('{')?;
    let labels = labels.trim_end_matches('}');
    labels.split("\",").find_map(|pair| {
        let (name, value) = pair.split_once("=\"")?;
        (name == label).then(|| value.trim_end_matches('"'))
    })
}

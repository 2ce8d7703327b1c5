//! Parser for metrics in the Prometheus text format.

use std::collections::BTreeMap;

/// Samples of one scrape, keyed by metric name and labels as they appear in the text.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Scrape(BTreeMap<String, f64>);

impl Scrape {
    /// Parses the samples of `text` and skips all other lines.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "# TYPE calls counter\ncalls{to=\"a b\"} 2\ncalls{to=\"c\"} 3\n";
    /// assert_eq!(xtask::Scrape::parse(text).sum("calls", &[]), 5.0);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Self {
        Self(text.lines().filter_map(parse_sample).collect())
    }

    /// Returns the sum of the samples of `name` that have all of `labels`.
    #[must_use]
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let samples = self.0.iter();
        let wanted = samples.filter(|(series, _)| matches(series, name, labels));
        wanted.map(|(_, value)| value).sum()
    }

    /// Returns the sum of the samples of `name` for each value of `label`.
    #[must_use]
    pub fn sums_by_label(&self, name: &str, label: &str) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for (series, value) in &self.0 {
            if let (true, Some(label_value)) =
                (matches(series, name, &[]), label_value_of(series, label))
            {
                *sums.entry(label_value.to_owned()).or_default() += value;
            }
        }
        sums
    }
}

fn parse_sample(line: &str) -> Option<(String, f64)> {
    let line = line.trim();
    if line.starts_with('#') {
        return None;
    }
    let (series, value) = line.rsplit_once(' ')?;
    Some((series.to_owned(), value.parse().ok()?))
}

fn matches(series: &str, name: &str, labels: &[(&str, &str)]) -> bool {
    let metric = series.split_once('{').map_or(series, |(metric, _)| metric);
    let has = |(label, value): &(&str, &str)| label_value_of(series, label) == Some(*value);
    metric == name && labels.iter().all(has)
}

fn label_value_of<'a>(series: &'a str, label: &str) -> Option<&'a str> {
    let (_, labels) = series.split_once('{')?;
    let labels = labels.trim_end_matches('}');
    labels.split("\",").find_map(|pair| {
        let (name, value) = pair.split_once("=\"")?;
        (name == label).then(|| value.trim_end_matches('"'))
    })
}

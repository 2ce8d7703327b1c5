//! What a run of `cargo test` printed, counted.

use std::collections::BTreeSet;

use crate::Ledger;

/// Counts the tests of one run, fed line by line.
///
/// # Examples
///
/// ```
/// let mut summary = xtask::Summary::default();
/// for line in [
///     "     Running tests/fold.rs (target/debug/deps/fold-5c7a)",
///     "test orders ... ok",
///     "test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out",
/// ] {
///     summary.line(line);
/// }
/// assert_eq!(summary.to_string(), "1 passed, 0 failed");
/// assert!(!summary.is_broken());
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Summary {
    passed: u64,
    failed: u64,
    target: String,
    open: bool,
    unfinished: Vec<String>,
    seen: BTreeSet<String>,
    red: Vec<String>,
}

impl Summary {
    /// Takes in one line of the run's output.
    pub fn line(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["Running", .., path] if path.starts_with('(') => self.begin(target(path)),
            ["Doc-tests", name] => self.begin(name),
            ["test", "result:", ..] => self.end(&words),
            ["test", .., "FAILED"] => self.test(line, true),
            ["test", .., "...", _] | ["test", .., "...", _, _] => self.test(line, false),
            _ => (),
        }
    }

    /// Returns the failed tests, each as `target::name`.
    #[must_use]
    pub fn red(&self) -> &[String] {
        &self.red
    }

    /// Returns whether a target ended without a result, or nothing ran.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.open || !self.unfinished.is_empty() || self.seen.is_empty()
    }

    /// Returns the failed tests that `ledger` does not cover.
    ///
    /// An entry covers one test: of several failures under the same name, all but
    /// the first are returned.
    #[must_use]
    pub fn uncovered(&self, ledger: &Ledger) -> Vec<&str> {
        let mut used = BTreeSet::new();
        let covered = |test: &&String| {
            let entry = ledger.find(test);
            entry.is_some_and(|entry| used.insert(entry.test.clone()))
        };
        let (_, rest): (Vec<_>, Vec<_>) = self.red.iter().partition(covered);
        rest.into_iter().map(String::as_str).collect()
    }

    /// Returns whether a test that `name` means ran at all.
    #[must_use]
    pub fn ran(&self, ledger: &Ledger, name: &str) -> bool {
        let means = |test: &String| ledger.find(test).is_some_and(|entry| entry.test == name);
        self.seen.iter().any(means)
    }

    fn begin(&mut self, target: &str) {
        if self.open {
            self.unfinished.push(self.target.clone());
        }
        self.open = true;
        self.target = target.to_owned();
    }

    fn end(&mut self, words: &[&str]) {
        self.open = false;
        self.passed += count(words, "passed;");
        self.failed += count(words, "failed;");
    }

    fn test(&mut self, line: &str, failed: bool) {
        let name = line.trim().trim_start_matches("test ");
        let name = name.rsplit_once(" ... ").map_or(name, |(name, _)| name);
        let name = name.trim_end_matches(" - should panic");
        let test = format!("{}::{name}", self.target);
        if failed {
            self.red.push(test.clone());
        }
        self.seen.insert(test);
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} passed, {} failed", self.passed, self.failed)
    }
}

/// Returns `fold` of `(target/debug/deps/fold-5c7a)`.
fn target(path: &str) -> &str {
    let path = path.trim_matches(['(', ')']);
    let file = path.rsplit_once('/').map_or(path, |(_, file)| file);
    file.rsplit_once('-').map_or(file, |(name, _)| name)
}

fn count(words: &[&str], unit: &str) -> u64 {
    let number = words.windows(2).find(|pair| pair[1] == unit);
    number.and_then(|pair| pair[0].parse().ok()).unwrap_or(0)
}

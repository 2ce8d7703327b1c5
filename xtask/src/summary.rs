//! Summary of the output of `cargo test`.

use std::collections::BTreeSet;

use crate::KnownFailures;

/// Test counts of one run, collected from its output line by line.
///
/// # Examples
///
/// ```
/// let mut summary = xtask::TestSummary::default();
/// for line in [
///     "     Running tests/fold.rs (target/debug/deps/fold-5c7a)",
///     "test orders ... ok",
///     "test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out",
/// ] {
///     summary.add_line(line);
/// }
/// assert_eq!(summary.to_string(), "1 passed, 0 failed");
/// assert!(!summary.is_incomplete());
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct TestSummary {
    passed: u64,
    failed: u64,
    current_target: String,
    target_open: bool,
    unfinished_targets: Vec<String>,
    executed: BTreeSet<String>,
    failures: Vec<String>,
}

impl TestSummary {
    /// Adds one line of the output.
    pub fn add_line(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["Running", .., path] if path.starts_with('(') => self.begin_target(target_name(path)),
            ["Doc-tests", name] => self.begin_target(name),
            ["test", "result:", ..] => self.end_target(&words),
            ["test", .., "FAILED"] => self.add_test(line, true),
            ["test", .., "...", _] | ["test", .., "...", _, _] => self.add_test(line, false),
            _ => (),
        }
    }

    /// Returns the failed tests, each as `target::name`.
    #[must_use]
    pub fn failures(&self) -> &[String] {
        &self.failures
    }

    /// Returns `true` if a target ended without a result or no test ran.
    #[must_use]
    pub fn is_incomplete(&self) -> bool {
        self.target_open || !self.unfinished_targets.is_empty() || self.executed.is_empty()
    }

    /// Returns the failed tests that are not listed in `known_failures`.
    ///
    /// Each entry covers one failure: if several failed tests match the same entry, all but the
    /// first are returned.
    #[must_use]
    pub fn unlisted_failures(&self, known_failures: &KnownFailures) -> Vec<&str> {
        let mut used_entries = BTreeSet::new();
        let is_listed = |test: &&String| {
            let entry = known_failures.find(test);
            entry.is_some_and(|entry| used_entries.insert(entry.test.clone()))
        };
        let (_, rest): (Vec<_>, Vec<_>) = self.failures.iter().partition(is_listed);
        rest.into_iter().map(String::as_str).collect()
    }

    /// Returns `true` if a test matching the entry `name` ran.
    #[must_use]
    pub fn has_run(&self, known_failures: &KnownFailures, name: &str) -> bool {
        let matches_name = |test: &String| {
            known_failures
                .find(test)
                .is_some_and(|entry| entry.test == name)
        };
        self.executed.iter().any(matches_name)
    }

    fn begin_target(&mut self, target: &str) {
        if self.target_open {
            self.unfinished_targets.push(self.current_target.clone());
        }
        self.target_open = true;
        self.current_target = target.to_owned();
    }

    fn end_target(&mut self, words: &[&str]) {
        self.target_open = false;
        self.passed += count(words, "passed;");
        self.failed += count(words, "failed;");
    }

    fn add_test(&mut self, line: &str, failed: bool) {
        let name = line.trim().trim_start_matches("test ");
        let name = name.rsplit_once(" ... ").map_or(name, |(name, _)| name);
        let name = name.trim_end_matches(" - should panic");
        let test = format!("{}::{name}", self.current_target);
        if failed {
            self.failures.push(test.clone());
        }
        self.executed.insert(test);
    }
}

impl std::fmt::Display for TestSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} passed, {} failed", self.passed, self.failed)
    }
}

/// Returns the target name of a path, such as `fold` for `(target/debug/deps/fold-5c7a)`.
fn target_name(path: &str) -> &str {
    let path = path.trim_matches(['(', ')']);
    let file = path.rsplit_once('/').map_or(path, |(_, file)| file);
    file.rsplit_once('-').map_or(file, |(name, _)| name)
}

fn count(words: &[&str], unit: &str) -> u64 {
    let number = words.windows(2).find(|pair| pair[1] == unit);
    number.and_then(|pair| pair[0].parse().ok()).unwrap_or(0)
}

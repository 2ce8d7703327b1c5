//! List of known test failures, read from `KNOWN-RED.txt` at the root of the repository.

use std::fs;
use std::io::ErrorKind;
use std::path::Path;

use crate::Error;

/// Maximum number of entries, so that the list does not accumulate unfixed failures.
const MAX_ENTRIES: usize = 3;

/// Test that fails because of a real fault that is not fixed yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KnownFailure {
    /// Name of the test as printed by the test run, optionally prefixed with its target.
    pub test: String,
    /// Cause of the failure.
    pub cause: String,
    /// Issue that tracks the fault.
    pub issue: String,
}

impl KnownFailure {
    /// Returns `true` if the entry refers to `test`, given as `target::name`.
    #[must_use]
    pub fn matches(&self, test: &str) -> bool {
        let prefix = test.strip_suffix(self.test.as_str());
        prefix.is_some_and(|rest| {
            rest.is_empty() || rest.split_once("::") == Some((target_name(test), ""))
        })
    }
}

/// Entries of the list of known failures.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct KnownFailures(pub Vec<KnownFailure>);

impl KnownFailures {
    /// Reads the list from `path`; a missing file yields an empty list.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the file cannot be read, when a line is not of the form
    /// `test | cause | issue`, or when the list has more than three entries.
    pub fn read(path: &Path) -> Result<Self, Error> {
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&text).map_err(|cause| Error::Content(path.to_owned(), cause)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Self::default()),
            Err(e) => Err(Error::File(path.to_owned(), e)),
        }
    }

    /// Returns the entry that refers to `test`, if any.
    #[must_use]
    pub fn find(&self, test: &str) -> Option<&KnownFailure> {
        self.0.iter().find(|entry| entry.matches(test))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().enumerate().filter(|(_, line)| {
            let line = line.trim();
            !line.is_empty() && !line.starts_with('#')
        });
        let entries: Vec<_> = lines
            .map(|(i, line)| parse_entry(line).ok_or_else(|| line_error(i + 1)))
            .collect::<Result<_, _>>()?;
        match entries.len() {
            n if n > MAX_ENTRIES => Err(format!(
                "{n} tests are listed, at most {MAX_ENTRIES} are allowed"
            )),
            _ => Ok(Self(entries)),
        }
    }
}

fn target_name(test: &str) -> &str {
    test.split_once("::").map_or(test, |(target, _)| target)
}

fn line_error(number: usize) -> String {
    format!("line {number}: expected `test | cause | issue`")
}

fn parse_entry(line: &str) -> Option<KnownFailure> {
    let fields: Vec<_> = line.split('|').map(str::trim).collect();
    match fields[..] {
        [test, cause, issue] if [test, cause, issue].iter().all(|f| !f.is_empty()) => {
            Some(KnownFailure {
                test: test.to_owned(),
                cause: cause.to_owned(),
                issue: issue.to_owned(),
            })
        }
        _ => None,
    }
}

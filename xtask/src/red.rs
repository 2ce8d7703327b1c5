//! Tests that are known to fail: `KNOWN-RED.txt` at the root of the repository.

use std::fs;
use std::io::ErrorKind;
use std::path::Path;

use crate::Error;

/// More entries than this are refused: the list is no place to park failures.
const MOST: usize = 3;

/// Names a test that fails for a real fault which is not mended yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KnownRed {
    /// The test, as the test run prints it, with or without its target before it.
    pub test: String,
    /// Why it fails.
    pub cause: String,
    /// Where the fault is tracked.
    pub issue: String,
}

impl KnownRed {
    /// Returns whether the entry means the test `target::name`.
    #[must_use]
    pub fn names(&self, test: &str) -> bool {
        let ends = test.strip_suffix(self.test.as_str());
        ends.is_some_and(|rest| {
            rest.is_empty() || rest.split_once("::") == Some((target(test), ""))
        })
    }
}

/// Holds every entry of the list.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Ledger(pub Vec<KnownRed>);

impl Ledger {
    /// Reads the list from `path`; a missing file is an empty list.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names the line when the file is not a list of at
    /// most three lines `test | cause | issue`.
    pub fn read(path: &Path) -> Result<Self, Error> {
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&text).map_err(|cause| Error::Content(path.to_owned(), cause)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Self::default()),
            Err(e) => Err(Error::File(path.to_owned(), e)),
        }
    }

    /// Returns the entry that means `test`, if there is one.
    #[must_use]
    pub fn find(&self, test: &str) -> Option<&KnownRed> {
        self.0.iter().find(|entry| entry.names(test))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().enumerate().filter(|(_, line)| {
            let line = line.trim();
            !line.is_empty() && !line.starts_with('#')
        });
        let entries: Vec<_> = lines
            .map(|(i, line)| entry(line).ok_or_else(|| wrong_line(i + 1)))
            .collect::<Result<_, _>>()?;
        match entries.len() {
            n if n > MOST => Err(format!("{n} tests are listed, at most {MOST} may be")),
            _ => Ok(Self(entries)),
        }
    }
}

fn target(test: &str) -> &str {
    test.split_once("::").map_or(test, |(target, _)| target)
}

fn wrong_line(number: usize) -> String {
    format!("line {number}: write `test | cause | issue`")
}

fn entry(line: &str) -> Option<KnownRed> {
    let fields: Vec<_> = line.split('|').map(str::trim).collect();
    match fields[..] {
        [test, cause, issue] if [test, cause, issue].iter().all(|f| !f.is_empty()) => {
            Some(KnownRed {
                test: test.to_owned(),
                cause: cause.to_owned(),
                issue: issue.to_owned(),
            })
        }
        _ => None,
    }
}

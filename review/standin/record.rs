//! Record of what was sent, answered and run, with times since the start.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Appends a line with the current time.
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record to `path`.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text)
    }
}

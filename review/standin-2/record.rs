//! Record of a case: what was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Shared record that is written line by line.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    start: Instant,
    file: Mutex<File>,
    last: Mutex<Vec<String>>,
}

/// Number of lines that are printed at the end.
const SUMMARY_LINES: usize = 6;

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
            last: Mutex::default(),
        })))
    }

    /// Writes one line with the time since the start in seconds.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.0.start.elapsed().as_secs_f64());
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
        let mut last = self.0.last.lock().unwrap();
        last.push(line);
        if last.len() > SUMMARY_LINES {
            last.remove(0);
        }
    }

    pub fn print_summary(&self) {
        for line in self.0.last.lock().unwrap().iter() {
            println!("{line}");
        }
    }
}

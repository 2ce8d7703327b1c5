//! Errors of settings.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Error in a settings file, with a hint how to fix it.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(file: String, err: io::Error) {
            source(err)
            display("{file}: cannot be read: {err}: name a readable file with --settings")
        }
        /// The file exceeds the maximum size of a settings file.
        TooLong(file: String, len: usize, max: usize) {
            display("{file}: {len} bytes: a settings file has at most {max} bytes")
        }
        /// The file is not valid JSON.
        Syntax(file: String, err: serde_json::Error) {
            source(err)
            display("{file}: invalid JSON: {err}: fix the text at this line and column")
        }
        /// A key is unknown, missing or has a value of another type.
        Shape(file: String, path: String, value: String, err: serde_json::Error) {
            source(err)
            display("{file}: {path}: {value} is refused: {err}: add, fix or remove this key")
        }
        /// A number is out of range.
        Range(file: String, path: &'static str, value: u64, min: u64, max: u64) {
            display("{file}: {path}: {value} is refused: use a whole number from {min} to {max}")
        }
        /// A value breaks a rule other than a range of whole numbers.
        Rule(file: String, path: String, value: String, fix: &'static str) {
            display("{file}: {path}: {value} is refused: {fix}")
        }
    }
}

//! Why settings are refused.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Tells why a settings file is refused and what cures it.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(file: String, err: io::Error) {
            source(err)
            display("{file}: cannot be read: {err}: name a readable file with --settings")
        }
        /// The file is larger than any settings file needs.
        TooLong(file: String, len: usize, max: usize) {
            display("{file}: {len} bytes: a settings file has at most {max} bytes")
        }
        /// The file is no JSON.
        Syntax(file: String, err: serde_json::Error) {
            source(err)
            display("{file}: no valid JSON: {err}: mend the text at this line and column")
        }
        /// A key is unknown, missing or has a value of another type.
        Shape(file: String, path: String, value: String, err: serde_json::Error) {
            source(err)
            display("{file}: {path}: {value} is refused: {err}: add, mend or remove this key")
        }
        /// A number is out of range.
        Range(file: String, path: &'static str, value: u64, min: u64, max: u64) {
            display("{file}: {path}: {value} is refused: use a whole number from {min} to {max}")
        }
        /// A value breaks a rule that is no range.
        Rule(file: String, path: String, value: String, cure: &'static str) {
            display("{file}: {path}: {value} is refused: {cure}")
        }
    }
}

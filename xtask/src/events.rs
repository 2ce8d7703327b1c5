//! Parser for the key=value lines that nodes log.

/// Returns the time at which `version` or a later version was first applied, in Unix milliseconds.
///
/// # Examples
///
/// ```
/// let log = "level=INFO at=1700 event=applied version=3\nat=1900 event=applied version=5\n";
/// assert_eq!(xtask::applied_at(log, 4), Some(1900));
/// ```
#[must_use]
pub fn applied_at(log: &str, version: u64) -> Option<u64> {
    log.lines()
        .filter(|line| field(line, "event") == Some("applied"))
        .filter(|line| parse_number(line, "version").is_some_and(|v| v >= version))
        .find_map(|line| parse_number(line, "at"))
}

fn parse_number(line: &str, key: &str) -> Option<u64> {
    field(line, key)?.parse().ok()
}

/// Returns the value of `key` without quotes.
///
/// Values that contain spaces are not supported.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    let value = pairs.find_map(|(name, value)| (name == key).then_some(value));
    value.map(|value| value.trim_matches('"'))
}

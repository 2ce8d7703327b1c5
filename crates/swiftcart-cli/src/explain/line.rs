//! One line of a node's log.

use serde::Serialize;

/// What each line of a node begins with: the time.
const TIME_PREFIX: &str = "at=";

/// The events that are about one request; all others are about what a node believes.
const REQUEST_EVENTS: [&str; 3] = ["answer", "try", "guard"];

/// The keys that every line has.
const COMMON_KEYS: [&str; 4] = ["level", "at", "event", "id"];

/// Holds one line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// The node: what stands before the line, or else the file's name.
    pub node: String,
    /// When it was written, in Unix milliseconds by that node's clock.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// All keys and values, in the order of the line.
    pub pairs: Vec<Pair>,
}

/// Holds one key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}

impl LogLine {
    /// Reads a line; `None` when it is not one of a node.
    ///
    /// What a collector of logs puts before the line names the node; without that, `file` does.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_cli::LogLine;
    ///
    /// let text = "sur-1 | at=17 level=INFO liveness=Dead id=10.0.0.1:7 event=member";
    /// let line = LogLine::parse("all", text).expect("a line of a node");
    /// assert_eq!((line.node.as_str(), line.at_ms), ("sur-1", 17));
    /// assert_eq!(line.value("liveness"), Some("Dead"));
    /// ```
    #[must_use]
    pub fn parse(file: &str, text: &str) -> Option<Self> {
        let (before, line) = text.split_at(line_start(text)?);
        let pairs: Vec<_> = logfmt::parse(line.trim_end())
            .into_iter()
            .filter_map(|pair| {
                let value = pair.val?;
                Some(Pair {
                    key: pair.key,
                    value,
                })
            })
            .collect();
        let find = |key| pairs.iter().find(|pair| pair.key == key);
        let at_ms = find("at")?.value.parse().ok()?;
        let event = find("event")?.value.clone();
        Some(Self {
            node: node_name(before).unwrap_or(file).to_owned(),
            at_ms,
            event,
            pairs,
        })
    }

    /// Returns the value of `key`.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|pair| pair.key == key)?;
        Some(&pair.value)
    }

    /// Tells whether the line is about one request.
    #[must_use]
    pub fn is_request_event(&self) -> bool {
        REQUEST_EVENTS.contains(&self.event.as_str())
    }

    /// Returns the keys and values that are not common to all lines.
    #[must_use]
    pub fn details(&self) -> String {
        let is_request = self.is_request_event();
        let own = |pair: &&Pair| match pair.key.as_str() {
            "id" => !is_request,
            key => !COMMON_KEYS.contains(&key),
        };
        // A node writes the pairs of an event in reverse.
        let texts = self.pairs.iter().rev().filter(own);
        let texts: Vec<_> = texts
            .map(|pair| format!("{}={}", pair.key, pair.value))
            .collect();
        texts.join(" ")
    }
}

/// Returns where a node's own part of a line begins.
fn line_start(text: &str) -> Option<usize> {
    let is_first_key = |at: &usize| {
        text[..*at]
            .chars()
            .next_back()
            .is_none_or(char::is_whitespace)
    };
    let places = text.match_indices(TIME_PREFIX).map(|(at, _)| at);
    places.into_iter().find(is_first_key)
}

/// Returns the last word before a line that can name a node.
fn node_name(before: &str) -> Option<&str> {
    let words = before.split_whitespace().rev();
    let is_name = |word: &&str| word.chars().any(char::is_alphabetic);
    let word = words.into_iter().find(is_name)?;
    Some(word.trim_matches(|c: char| !c.is_alphanumeric()))
}

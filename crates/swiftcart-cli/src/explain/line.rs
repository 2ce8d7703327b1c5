//! Lines of a node's log.

use serde::Serialize;

/// Key of the time, with which each log line of a node begins.
const TIME_PREFIX: &str = "at=";

/// Events that concern one request. All other events concern the node's view of the mesh.
const REQUEST_EVENTS: [&str; 3] = ["answer", "try", "guard"];

/// Keys that are left out of [`LogLine::details`].
const COMMON_KEYS: [&str; 4] = ["level", "at", "event", "id"];

/// Line of a node's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Name of the node: the last word before the line, or else the name of the file.
    pub node: String,
    /// Time of the line, in milliseconds since the Unix epoch by the node's clock.
    pub at_ms: u64,
    /// Event that the line logs.
    pub event: String,
    /// Keys and values in the order of the line.
    pub pairs: Vec<Pair>,
}

/// Key and value of a log line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Pair {
    /// Key as logged.
    pub key: String,
    /// Value without quotes.
    pub value: String,
}

impl LogLine {
    /// Parses a line, or returns `None` if a node did not write it.
    ///
    /// The prefix that a log collector puts before the line names the node. Without a prefix,
    /// `file` is the name of the node.
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

    /// Returns `true` if the line concerns one request.
    #[must_use]
    pub fn is_request_event(&self) -> bool {
        REQUEST_EVENTS.contains(&self.event.as_str())
    }

    /// Returns the keys and values that are specific to the event, as `key=value`.
    #[must_use]
    pub fn details(&self) -> String {
        let is_request = self.is_request_event();
        let is_specific = |pair: &&Pair| match pair.key.as_str() {
            "id" => !is_request,
            key => !COMMON_KEYS.contains(&key),
        };
        // A node logs the pairs of an event in reverse order.
        let texts = self.pairs.iter().rev().filter(is_specific);
        let texts: Vec<_> = texts
            .map(|pair| format!("{}={}", pair.key, pair.value))
            .collect();
        texts.join(" ")
    }
}

/// Returns the position at which the part of the line that the node wrote begins.
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

/// Returns the last word of the prefix that has a letter and so can be a node's name.
fn node_name(before: &str) -> Option<&str> {
    let words = before.split_whitespace().rev();
    let is_name = |word: &&str| word.chars().any(char::is_alphabetic);
    let word = words.into_iter().find(is_name)?;
    Some(word.trim_matches(|c: char| !c.is_alphanumeric()))
}

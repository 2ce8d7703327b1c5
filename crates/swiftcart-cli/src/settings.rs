//! Settings file with the addresses of the platform and the nodes and the author's name.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use quick_error::quick_error;
use serde_json::{Map, Value};

/// Default time limit for all calls of a command to the platform.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of nodes in the settings or on the command line.
pub const MAX_NODES: usize = 64;

const MAX_BYTES: usize = 64 * 1024;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const KNOWN_KEYS: &str = "platform, nodes, author or timeout_ms";
const ADDR: &str = "write IP:PORT, for example \"127.0.0.1:7000\"";
const NODES: &str = "write a list of at most 64 IP:PORT, for example [\"127.0.0.1:7002\"]";
const AUTHOR: &str = "write your name in quotes, for example \"rosa\"";
const TIMEOUT: &str = "write milliseconds from 1 to 3600000, for example 15000";

/// Addresses of the platform and the nodes, author's name and time limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address of the platform's log.
    pub platform: Option<SocketAddr>,
    /// Admin addresses of some nodes. Each node knows all other members.
    pub nodes: Vec<SocketAddr>,
    /// Author of publishes, as shown in the history.
    pub author: Option<String>,
    /// Time limit for all calls of a command to the platform.
    pub timeout: Duration,
}

quick_error! {
    /// Error in a settings file.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, detail: String) {
            display("{}: {detail}", path.display())
        }
        /// The file exceeds the size limit.
        Large(path: PathBuf) {
            display("{}: larger than {MAX_BYTES} bytes, the limit for a settings file", path.display())
        }
        /// The file is not a JSON object.
        Syntax(path: PathBuf, detail: String) {
            display("{}: {detail}; write a JSON object", path.display())
        }
        /// The key is unknown.
        Key(path: PathBuf, key: String) {
            display("{}: {key}: unknown key; use {KNOWN_KEYS}", path.display())
        }
        /// The value is not valid for its key.
        Value(path: PathBuf, key: &'static str, value: String, hint: &'static str) {
            display("{}: {key}: {value} is not valid; {hint}", path.display())
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            platform: None,
            nodes: Vec::new(),
            author: None,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl Settings {
    /// Reads and parses the settings file at `path`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Read`] if the file cannot be read, and the errors of
    /// [`parse`](Self::parse).
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        match fs::read(path) {
            Ok(bytes) => Self::parse(path, &bytes),
            Err(e) => Err(SettingsError::Read(path.into(), e.to_string())),
        }
    }

    /// Parses the content of the settings file at `path`, which is used in error messages only.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::path::Path;
    /// use swiftcart_cli::Settings;
    ///
    /// let json = br#"{"platform": "localhost"}"#;
    /// let error = Settings::parse(Path::new("swiftcart.json"), json).unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "swiftcart.json: platform: \"localhost\" is not valid; \
    ///      write IP:PORT, for example \"127.0.0.1:7000\""
    /// );
    /// ```
    ///
    /// # Errors
    ///
    /// [`SettingsError`] for the first key or value that is not valid.
    pub fn parse(path: &Path, bytes: &[u8]) -> Result<Self, SettingsError> {
        if bytes.len() > MAX_BYTES {
            return Err(SettingsError::Large(path.into()));
        }
        let object: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|e| SettingsError::Syntax(path.into(), e.to_string()))?;
        let mut settings = Self::default();
        for (key, value) in &object {
            settings
                .set(key, value)
                .map_err(|cause| cause.into_error(path, key, value))?;
        }
        Ok(settings)
    }

    fn set(&mut self, key: &str, value: &Value) -> Result<(), Cause> {
        match key {
            "platform" => self.platform = Some(addr(value).ok_or(Cause::Value("platform", ADDR))?),
            "nodes" => self.nodes = addrs(value).ok_or(Cause::Value("nodes", NODES))?,
            "author" => self.author = Some(text(value).ok_or(Cause::Value("author", AUTHOR))?),
            "timeout_ms" => {
                self.timeout = millis(value).ok_or(Cause::Value("timeout_ms", TIMEOUT))?;
            }
            _ => return Err(Cause::Key),
        }
        Ok(())
    }
}

/// Cause of a [`SettingsError`], without the path of the file.
enum Cause {
    Key,
    Value(&'static str, &'static str),
}

impl Cause {
    fn into_error(self, path: &Path, key: &str, value: &Value) -> SettingsError {
        match self {
            Self::Key => SettingsError::Key(path.into(), key.into()),
            Self::Value(key, hint) => {
                SettingsError::Value(path.into(), key, value.to_string(), hint)
            }
        }
    }
}

fn addr(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn addrs(value: &Value) -> Option<Vec<SocketAddr>> {
    let list = value.as_array().filter(|list| list.len() <= MAX_NODES)?;
    list.iter().map(addr).collect()
}

fn text(value: &Value) -> Option<String> {
    let text = value.as_str().filter(|text| !text.trim().is_empty())?;
    Some(text.into())
}

fn millis(value: &Value) -> Option<Duration> {
    let range = 1..=MAX_TIMEOUT_MS;
    let ms = value.as_u64().filter(|ms| range.contains(ms))?;
    Some(Duration::from_millis(ms))
}

//! Parsing of settings from a file or text.

use std::fs;
use std::path::Path;

use serde_json::Value;
use serde_json::error::Category;
use serde_path_to_error::Segment;

use super::check::check;
use super::{Settings, SettingsError};

/// Maximum size of a settings file, in bytes.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Key whose value is never printed.
const SECRET_KEY: &str = "mesh_key";

impl Settings {
    /// Reads and checks the settings in `file`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid value, its path and how to fix it.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let name = file.display().to_string();
        match fs::read(file) {
            Ok(text) => Self::parse(&name, &text),
            Err(err) => Err(SettingsError::Read(name, err)),
        }
    }

    /// Parses and checks the settings in `text`. Errors refer to the settings as `file`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid value, its path and how to fix it.
    pub fn parse(file: &str, text: &[u8]) -> Result<Self, SettingsError> {
        if text.len() > MAX_FILE_BYTES {
            return Err(SettingsError::TooLong(
                file.into(),
                text.len(),
                MAX_FILE_BYTES,
            ));
        }
        let mut de = serde_json::Deserializer::from_slice(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut de).map_err(|err| refuse(file, text, err))?;
        de.end()
            .map_err(|err| SettingsError::Syntax(file.into(), err))?;
        check(file, &settings)?;
        Ok(settings)
    }
}

fn refuse(
    file: &str,
    text: &[u8],
    err: serde_path_to_error::Error<serde_json::Error>,
) -> SettingsError {
    let path = err.path().clone();
    let inner = err.into_inner();
    match inner.classify() {
        Category::Data => {
            let root = serde_json::from_slice(text).unwrap_or(Value::Null);
            let value = redacted_value(&path, &root);
            SettingsError::Shape(file.into(), path.to_string(), value, inner)
        }
        Category::Syntax | Category::Eof | Category::Io => {
            SettingsError::Syntax(file.into(), inner)
        }
    }
}

/// Returns the value at `path` as printed in an error, without secrets.
fn redacted_value(path: &serde_path_to_error::Path, root: &Value) -> String {
    let secret = path
        .iter()
        .any(|segment| matches!(segment, Segment::Map { key } if key == SECRET_KEY));
    match path.iter().try_fold(root, step) {
        _ if secret => "the value".into(),
        Some(Value::Object(_)) => "the object".into(),
        Some(value) => value.to_string(),
        None => "the value".into(),
    }
}

fn step<'a>(value: &'a Value, segment: &Segment) -> Option<&'a Value> {
    match segment {
        Segment::Map { key } => value.get(key),
        Segment::Seq { index } => value.get(index),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

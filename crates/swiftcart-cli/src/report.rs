//! Output of a command: text for people or JSON for scripts.

use serde_json::{Value, json};

use crate::{Error, Exit};

/// Output and exit code of a command.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Report {
    /// Output as text for people.
    pub text: String,
    /// Output as JSON for scripts.
    pub json: Value,
    /// Exit code of the command.
    pub exit: Exit,
}

impl Report {
    /// Creates the report of a command that succeeded.
    #[must_use]
    pub const fn new(text: String, json: Value) -> Self {
        Self {
            text,
            json,
            exit: Exit::Done,
        }
    }

    /// Sets the exit code.
    #[must_use]
    pub const fn with_exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }
}

impl From<&Error> for Report {
    fn from(error: &Error) -> Self {
        let exit = error.exit();
        let mut json = json!({
            "result": "error",
            "exit": exit.code(),
            "message": error.to_string(),
        });
        match error {
            Error::Sheet(_, faults) => json["faults"] = json!(faults),
            Error::OutcomeUnknown(id, _) => json["id"] = json!(id),
            _ => {}
        }
        Self::new(format!("swiftcart: {error}"), json).with_exit(exit)
    }
}

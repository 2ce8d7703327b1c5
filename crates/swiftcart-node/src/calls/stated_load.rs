//! Load that the local backend server states in the headers of its responses.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{HeaderMap, HeaderName};
use slog::warn;
use swiftcart_core::{StatedLoad, StatedLoadError};

use super::request::Call;
use crate::logging::Event;
use crate::shared::Shared;

/// Reason why a statement is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ignored {
    /// The response has the id of another request, so it may be old.
    OtherId,
    /// The header is repeated, or does not consist of three or four numbers.
    Malformed,
    /// A number is out of range.
    OutOfRange,
}

impl Ignored {
    /// Number of reasons.
    const COUNT: usize = Self::OutOfRange as usize + 1;

    /// Returns the label of the reason in metrics and logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::OtherId => "other-id",
            Self::Malformed => "malformed",
            Self::OutOfRange => "out-of-range",
        }
    }
}

impl From<StatedLoadError> for Ignored {
    fn from(err: StatedLoadError) -> Self {
        match err {
            StatedLoadError::Malformed => Self::Malformed,
            StatedLoadError::OutOfRange(_) => Self::OutOfRange,
        }
    }
}

/// Reader of the statements of one process of the backend server.
#[derive(Debug)]
pub struct StatedLoadReader {
    shared: Arc<Shared>,
    /// For each reason, in the order of [`Ignored`]: `true` if an ignored statement was logged.
    logged: [AtomicBool; Ignored::COUNT],
}

impl StatedLoadReader {
    /// Creates a reader for a process that has stated nothing yet.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            logged: Default::default(),
        })
    }

    /// Returns the load that the response to `call` states, or `None` if it states none that is
    /// usable.
    ///
    /// A load is read only if the settings name its header.
    pub fn read(&self, call: &Call, headers: &HeaderMap) -> Option<StatedLoad> {
        let name = self.shared.headers.load.as_ref()?;
        match self.parse(call, headers, &name.0) {
            Ok(stated) => stated,
            Err(reason) => {
                self.record_ignored(call, reason);
                None
            }
        }
    }

    /// Parses the statement in the header `name`; `None` if the response has no such header.
    fn parse(
        &self,
        call: &Call,
        headers: &HeaderMap,
        name: &HeaderName,
    ) -> Result<Option<StatedLoad>, Ignored> {
        let names = &*self.shared.headers;
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => Ok(None),
            _ if names.own_ids && headers.get(&names.request_id.0) != Some(&call.id.0) => {
                Err(Ignored::OtherId)
            }
            (Some(value), None) => {
                let text = value.to_str().map_err(|_| Ignored::Malformed)?;
                Ok(Some(text.parse()?))
            }
            (Some(_), Some(_)) => Err(Ignored::Malformed),
        }
    }

    /// Counts an ignored statement, and logs the first one of each reason.
    fn record_ignored(&self, call: &Call, reason: Ignored) {
        let counters = &self.shared.counters;
        let name = "swiftcart_stated_loads_ignored_total";
        counters.count(name, "reason", reason.as_str());
        if !self.logged[reason as usize].swap(true, Ordering::Relaxed) {
            warn!(self.shared.logger, ""; "event" => Event::Notice, "id" => %call.id,
                "part" => "load", "reason" => reason.as_str());
        }
    }
}

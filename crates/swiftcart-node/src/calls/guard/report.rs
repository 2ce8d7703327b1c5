//! State of the backend server that a guard reports.

use http::HeaderValue;
use swiftcart_core::{Load, Pace, Slowdown};

/// State of the local backend server that a guard reports with each response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Numbers of running and queued requests, and the concurrency limit.
    pub load: Load,
    /// Pace of the backend server; `None` until it is known.
    pub pace: Option<Pace>,
    /// Slowdown that is part of the pace; `None` unless the backend server states it.
    pub slowdown: Option<Slowdown>,
}

impl Report {
    /// Returns the value of the load header: running, queued and limit, followed by the pace and
    /// the slowdown if they are known.
    ///
    /// The slowdown is sent with a pace only: earlier releases would take a placeholder for a pace.
    pub(super) fn header_value(&self) -> Option<HeaderValue> {
        let Load {
            running,
            queued,
            limit,
        } = self.load;
        let pace = self.pace.map_or(0, |Pace(pace)| pace);
        let text = match (self.slowdown, pace) {
            (_, 0) => format!("{running} {queued} {limit}"),
            (Some(Slowdown(slowdown)), _) => {
                format!("{running} {queued} {limit} {pace} {slowdown}")
            }
            (None, _) => format!("{running} {queued} {limit} {pace}"),
        };
        HeaderValue::try_from(text).ok()
    }
}

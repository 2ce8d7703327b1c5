//! Checks that a response is complete and belongs to the request.

use std::time::{Duration, Instant};

use http::Response;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::Shape;
use crate::content::{BodyChecker, Content};
use crate::headers::{DIGEST, OUTCOME, REASON, text};

/// Maximum size of a receipt in bytes; a longer receipt counts as corrupt.
const MAX_RECEIPT_BYTES: usize = 64 * 1024;

/// Classification of the result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Verdict {
    /// A complete success response that belongs to the request.
    Good,
    /// A complete response with a status other than 2xx.
    Refused,
    /// A success response that belongs to another request.
    Foreign,
    /// A success response with an unexpected length or digest, or a malformed receipt.
    Corrupt,
    /// A response whose body ended early.
    Broken,
    /// No connection, or a connection that failed before the response headers arrived.
    Unanswered,
    /// No complete response within the request timeout.
    Timeout,
}

impl Verdict {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Refused => "refused",
            Self::Foreign => "foreign",
            Self::Corrupt => "corrupt",
            Self::Broken => "broken",
            Self::Unanswered => "unanswered",
            Self::Timeout => "timeout",
        }
    }
}

/// Result of one attempt of a call.
#[derive(Debug)]
pub(super) struct AttemptResult {
    pub(super) verdict: Verdict,
    pub(super) status: Option<u16>,
    pub(super) outcome: Option<String>,
    pub(super) reason: Option<String>,
    pub(super) retry_after: Option<Duration>,
    /// Time when the last byte arrived or the attempt failed.
    pub(super) end: Instant,
}

impl AttemptResult {
    /// Reads a response to its end and checks it against the request.
    pub(super) async fn read(response: Response<Incoming>, shape: &Shape, id: &str) -> Self {
        let (head, body) = response.into_parts();
        let mut reader = BodyReader::new(id);
        let complete = reader.read(body).await;
        let end = Instant::now();
        let verdict = match shape {
            _ if !complete => Verdict::Broken,
            _ if !head.status.is_success() => Verdict::Refused,
            Shape::Read { bytes, .. } => reader.check_read(&head, &Content::new(id, *bytes)),
            Shape::Keyed { bytes, .. }
            | Shape::Post { bytes, .. }
            | Shape::Upload { bytes, .. } => {
                let sent = Content::new(id, *bytes);
                reader.check_receipt(id, &sent).await
            }
        };
        Self {
            verdict,
            status: Some(head.status.as_u16()),
            outcome: text(&head.headers, OUTCOME),
            reason: text(&head.headers, REASON),
            retry_after: retry_after(&head),
            end,
        }
    }
}

impl From<Verdict> for AttemptResult {
    fn from(verdict: Verdict) -> Self {
        Self {
            verdict,
            status: None,
            outcome: None,
            reason: None,
            retry_after: None,
            end: Instant::now(),
        }
    }
}

/// Receipt of the backend server for a request body.
#[derive(Debug, Deserialize)]
struct Receipt {
    id: String,
    bytes: u64,
    digest: String,
}

/// Response body reader that hashes the whole body and keeps its first bytes.
struct BodyReader {
    checker: BodyChecker,
    prefix: Vec<u8>,
}

impl BodyReader {
    fn new(id: &str) -> Self {
        Self {
            checker: BodyChecker::new(id),
            prefix: Vec::new(),
        }
    }

    /// Reads `body` and returns `true` if it is complete.
    async fn read(&mut self, mut body: Incoming) -> bool {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            if let Some(data) = frame.data_ref() {
                let remaining = MAX_RECEIPT_BYTES - self.prefix.len();
                self.prefix.extend(data.iter().take(remaining));
                self.checker.update(data);
            }
        }
        true
    }

    fn check_read(&self, head: &Parts, sent: &Content) -> Verdict {
        let digest = text(&head.headers, DIGEST);
        match digest {
            _ if !self.checker.matches_id() => Verdict::Foreign,
            Some(d) if self.checker.len() == sent.len() && d == self.checker.digest() => {
                Verdict::Good
            }
            _ => Verdict::Corrupt,
        }
    }

    async fn check_receipt(&self, id: &str, sent: &Content) -> Verdict {
        match serde_json::from_slice::<Receipt>(&self.prefix) {
            Ok(receipt) if receipt.id != id => Verdict::Foreign,
            Ok(receipt) if receipt.bytes != sent.len() => Verdict::Corrupt,
            Ok(receipt) if receipt.digest == sent.digest().await => Verdict::Good,
            _ => Verdict::Corrupt,
        }
    }
}

fn retry_after(head: &Parts) -> Option<Duration> {
    let secs = text(&head.headers, RETRY_AFTER.as_str())?.parse().ok()?;
    Some(Duration::from_secs(secs))
}

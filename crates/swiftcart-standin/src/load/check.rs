//! Checks that an answer is whole and the caller's own.

use std::time::{Duration, Instant};

use http::Response;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::Shape;
use crate::content::{Checker, Content};
use crate::headers::{DIGEST, OUTCOME, REASON, text};

/// Bytes of a receipt that are kept; a longer one is corrupt.
const RECEIPT_BYTES: usize = 64 * 1024;

/// Tells what came back for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Verdict {
    /// A success, whole and the caller's own.
    Good,
    /// An answer with another status than a success.
    Refused,
    /// A success that answers another request.
    Foreign,
    /// A success whose bytes are not those that were sent.
    Corrupt,
    /// A body that broke off.
    Broken,
    /// No connection, or one that broke before the answer.
    Unanswered,
    /// No answer in time.
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

/// Holds what one try brought.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) verdict: Verdict,
    pub(super) status: Option<u16>,
    pub(super) outcome: Option<String>,
    pub(super) reason: Option<String>,
    pub(super) retry_after: Option<Duration>,
    /// When its last byte was there, or the waiting ended.
    pub(super) end: Instant,
}

impl Answer {
    /// Reads an answer to its end and checks it against the request.
    pub(super) async fn read(answer: Response<Incoming>, shape: &Shape, id: &str) -> Self {
        let (head, body) = answer.into_parts();
        let mut reading = Reading::new(id);
        let whole = reading.read(body).await;
        let end = Instant::now();
        let verdict = match shape {
            _ if !whole => Verdict::Broken,
            _ if !head.status.is_success() => Verdict::Refused,
            Shape::Read { bytes, .. } => reading.check_read(&head, &Content::new(id, *bytes)),
            Shape::Keyed { bytes, .. }
            | Shape::Post { bytes, .. }
            | Shape::Upload { bytes, .. } => {
                let sent = Content::new(id, *bytes);
                reading.check_receipt(id, &sent).await
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

impl From<Verdict> for Answer {
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

/// The backend server's receipt for a body.
#[derive(Debug, Deserialize)]
struct Receipt {
    id: String,
    bytes: u64,
    digest: String,
}

/// Takes in a body: hashes all of it and keeps its start.
struct Reading {
    checker: Checker,
    start: Vec<u8>,
}

impl Reading {
    fn new(id: &str) -> Self {
        Self {
            checker: Checker::new(id),
            start: Vec::new(),
        }
    }

    /// Reads `body` and returns whether it came to its end.
    async fn read(&mut self, mut body: Incoming) -> bool {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            if let Some(data) = frame.data_ref() {
                let room = RECEIPT_BYTES - self.start.len();
                self.start.extend(data.iter().take(room));
                self.checker.update(data);
            }
        }
        true
    }

    fn check_read(&self, head: &Parts, sent: &Content) -> Verdict {
        let digest = text(&head.headers, DIGEST);
        match digest {
            _ if !self.checker.is_own() => Verdict::Foreign,
            Some(d) if self.checker.len() == sent.len() && d == self.checker.digest() => {
                Verdict::Good
            }
            _ => Verdict::Corrupt,
        }
    }

    async fn check_receipt(&self, id: &str, sent: &Content) -> Verdict {
        match serde_json::from_slice::<Receipt>(&self.start) {
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

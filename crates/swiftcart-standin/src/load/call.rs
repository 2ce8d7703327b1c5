//! One call: the request, the answer's check and the retries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use axum::body::Body;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderMap, Method, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::retry::pause;
use super::schedule::Tick;
use super::{Load, Shape};
use crate::client::Client;
use crate::content::{Checker, Content, DIGEST, Stream};

const CALLER_ID: &str = "x-request-id";
const KEY: &str = "idempotency-key";
const DEADLINE_LEFT: &str = "swiftcart-deadline-ms";
const OUTCOME: &str = "swiftcart-outcome";
const REASON: &str = "swiftcart-reason";

/// Largest receipt of an upload that is read, in bytes.
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
}

/// Holds what one call brought.
#[derive(Debug)]
pub(super) struct Sample {
    pub(super) answer: Answer,
    pub(super) id: String,
    pub(super) key: Option<String>,
    pub(super) shape: usize,
    pub(super) retries: u32,
    /// From the intended time to the answer's end.
    pub(super) latency: Duration,
    /// From the first sending to the answer's end.
    pub(super) since_send: Duration,
}

/// Makes the calls of one load.
pub(super) struct Caller {
    pub(super) load: Load,
    pub(super) client: Client,
    pub(super) room: Semaphore,
}

impl Caller {
    /// Makes one call, with the retries that the load allows.
    pub(super) async fn call(&self, target: SocketAddr, tick: &Tick) -> Sample {
        let shape = &self.load.shapes[tick.shape].0;
        let id = format!("{:x}-{}", self.load.seed, tick.index);
        let key = matches!(shape, Shape::Keyed { .. }).then(|| format!("key-{id}"));
        // The semaphore is never closed; without a permit the call goes on all the same.
        let _room = self.room.acquire().await.ok();
        let sent = Instant::now();
        let mut retries = 0;
        let answer = loop {
            let answer = self.try_once(target, shape, &id, key.as_deref()).await;
            match pause(&answer, shape, &id, retries) {
                Some(pause) if retries < self.load.retries => sleep(pause).await,
                _ => break answer,
            }
            retries += 1;
        };
        let end = Instant::now();
        Sample {
            answer,
            id,
            key,
            shape: tick.shape,
            retries,
            latency: end.saturating_duration_since(tick.due),
            since_send: end.saturating_duration_since(sent),
        }
    }

    async fn try_once(
        &self,
        target: SocketAddr,
        shape: &Shape,
        id: &str,
        key: Option<&str>,
    ) -> Answer {
        let limit = Duration::from_millis(self.load.timeout_ms);
        let asked = async {
            let request = self.request(target, shape, id, key).ok()?;
            let answer = self.client.request(request).await.ok()?;
            Some(check(answer, shape, id).await)
        };
        match timeout(limit, asked).await {
            Ok(Some(answer)) => answer,
            Ok(None) => Answer::from(Verdict::Unanswered),
            Err(_) => Answer::from(Verdict::Timeout),
        }
    }

    fn request(
        &self,
        target: SocketAddr,
        shape: &Shape,
        id: &str,
        key: Option<&str>,
    ) -> http::Result<Request<Body>> {
        let (method, path, bytes) = match shape {
            Shape::Read { path, bytes } => (Method::GET, format!("{path}?bytes={bytes}"), 0),
            Shape::Keyed { path, bytes } | Shape::Post { path, bytes } => {
                (Method::POST, path.clone(), *bytes)
            }
            Shape::Upload { path, bytes } => (Method::PUT, path.clone(), *bytes),
        };
        let mut request = Request::builder()
            .method(&method)
            .uri(format!("http://{target}{path}"))
            .header(CALLER_ID, id);
        if let Some(key) = key {
            request = request.header(KEY, key);
        }
        if self.load.deadline_ms > 0 {
            request = request.header(DEADLINE_LEFT, self.load.deadline_ms);
        }
        if method == Method::GET {
            return request.body(Body::empty());
        }
        let content = Content::new(id, bytes);
        request
            .header(CONTENT_LENGTH, content.len())
            .body(Body::new(Stream::new(content, None, || {})))
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

/// Reads an answer to its end and checks that it is whole and the caller's own.
async fn check(answer: http::Response<Incoming>, shape: &Shape, id: &str) -> Answer {
    let (head, body) = answer.into_parts();
    let verdict = match shape {
        _ if !head.status.is_success() => drain(body).await,
        Shape::Read { bytes, .. } => check_read(body, &head, id, *bytes).await,
        Shape::Keyed { bytes, .. } | Shape::Post { bytes, .. } | Shape::Upload { bytes, .. } => {
            check_receipt(body, id, *bytes).await
        }
    };
    Answer {
        verdict,
        status: Some(head.status.as_u16()),
        outcome: text(&head.headers, OUTCOME),
        reason: text(&head.headers, REASON),
        retry_after: retry_after(&head),
    }
}

/// Reads a refusal's body, so that its connection can be used again.
async fn drain(mut body: Incoming) -> Verdict {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return Verdict::Broken;
        }
    }
    Verdict::Refused
}

async fn check_read(mut body: Incoming, head: &Parts, id: &str, bytes: u64) -> Verdict {
    let mut checker = Checker::new(id);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Verdict::Broken;
        };
        if let Some(data) = frame.data_ref() {
            checker.update(data);
        }
    }
    let whole = checker.len() == Content::new(id, bytes).len()
        && text(&head.headers, DIGEST).is_some_and(|d| d == checker.digest());
    match whole {
        _ if !checker.is_own() => Verdict::Foreign,
        true => Verdict::Good,
        false => Verdict::Corrupt,
    }
}

async fn check_receipt(mut body: Incoming, id: &str, bytes: u64) -> Verdict {
    let mut json = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Verdict::Broken;
        };
        let data = frame.into_data().unwrap_or_default();
        if json.len() + data.len() > RECEIPT_BYTES {
            return Verdict::Corrupt;
        }
        json.extend_from_slice(&data);
    }
    let sent = Content::new(id, bytes);
    match serde_json::from_slice::<Receipt>(&json) {
        Ok(receipt) if receipt.id != id => Verdict::Foreign,
        Ok(receipt) if receipt.bytes == sent.len() && receipt.digest == sent.digest() => {
            Verdict::Good
        }
        _ => Verdict::Corrupt,
    }
}

fn retry_after(head: &Parts) -> Option<Duration> {
    let secs = text(&head.headers, "retry-after")?.parse().ok()?;
    Some(Duration::from_secs(secs))
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

//! A single call: its request, the verification of its response and its retries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use axum::body::Body;
use http::header::CONTENT_LENGTH;
use http::{Method, Request};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::check::{AttemptResult, Verdict};
use super::retry::retry_delay;
use super::schedule::Tick;
use super::{Load, Shape};
use crate::client::Client;
use crate::content::{Content, ContentBody};
use crate::headers::{CALLER_ID, DEADLINE_LEFT, KEY};

/// Result and timing of one call.
#[derive(Debug)]
pub(super) struct Sample {
    pub(super) answer: AttemptResult,
    pub(super) id: String,
    pub(super) key: Option<String>,
    pub(super) shape: usize,
    pub(super) retries: u32,
    /// Time from the scheduled send time to the end of the response.
    pub(super) latency: Duration,
    /// Time from the first attempt to the end of the response.
    pub(super) since_send: Duration,
}

/// HTTP client that makes the calls of one load.
pub(super) struct Caller {
    pub(super) load: Load,
    pub(super) client: Client,
    pub(super) permits: Semaphore,
}

impl Caller {
    /// Makes one call, including the retries that the load allows.
    pub(super) async fn call(&self, target: SocketAddr, tick: &Tick) -> Sample {
        let shape = &self.load.shapes[tick.shape].0;
        let id = format!("{:x}-{}", self.load.seed, tick.index);
        let key = matches!(shape, Shape::Keyed { .. }).then(|| format!("key-{id}"));
        // The semaphore is never closed, so acquiring a permit does not fail.
        let _permit = self.permits.acquire().await.ok();
        let sent = Instant::now();
        let mut retries = 0;
        let answer = loop {
            let answer = self.send_once(target, shape, &id, key.as_deref()).await;
            match retry_delay(&answer, shape, &id, retries) {
                Some(delay) if retries < self.load.retries => sleep(delay).await,
                _ => break answer,
            }
            retries += 1;
        };
        Sample {
            latency: answer.end.saturating_duration_since(tick.due),
            since_send: answer.end.saturating_duration_since(sent),
            answer,
            id,
            key,
            shape: tick.shape,
            retries,
        }
    }

    async fn send_once(
        &self,
        target: SocketAddr,
        shape: &Shape,
        id: &str,
        key: Option<&str>,
    ) -> AttemptResult {
        let limit = Duration::from_millis(self.load.timeout_ms);
        let exchange = async {
            let request = self.request(target, shape, id, key).ok()?;
            let response = self.client.request(request).await.ok()?;
            Some(AttemptResult::read(response, shape, id).await)
        };
        match timeout(limit, exchange).await {
            Ok(Some(answer)) => answer,
            Ok(None) => AttemptResult::from(Verdict::Unanswered),
            Err(_) => AttemptResult::from(Verdict::Timeout),
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
            .body(Body::new(ContentBody::new(content, None, || {})))
    }
}

//! One call: the request, the answer's check and the retries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use axum::body::Body;
use http::header::CONTENT_LENGTH;
use http::{Method, Request};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::check::{Answer, Verdict};
use super::retry::pause;
use super::schedule::Tick;
use super::{Load, Shape};
use crate::client::Client;
use crate::content::{Content, Stream};
use crate::headers::{CALLER_ID, DEADLINE_LEFT, KEY};

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
            Some(Answer::read(answer, shape, id).await)
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

//! Requests with an idempotency key, which run at most once: each is claimed in the platform's log
//! before the hand-over.
//!
//! The request is kept in memory as a whole and runs in its own task. A caller that disconnects
//! after the hand-over does not cancel the task. When the caller retries with the same key, it gets
//! the stored response.

mod partition;
mod stored;
mod work;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use swiftcart_core::{ClaimKey, ClaimSettings, NodeId, Reason, Refusal, ServiceName, rank_guards};
use swiftcart_platform::Platform;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer::Answer;
use super::body::{BodyError, Outgoing};
use super::guard::Guard;
use super::request::Call;
use super::upstream::Upstream;
use crate::shared::Shared;
use partition::Partition;
use work::KeyedRequest;

/// Number of claim streams of each service; it must be the same on every node.
const PARTITIONS: u16 = 8;

/// Number of guards that follow a partition before its first request.
const FOLLOWERS: usize = 2;

/// Maximum time that a shutdown waits for stored responses to reach the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks for records that are not in the log yet.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Executor of requests with an idempotency key, each at most once.
#[derive(Debug)]
pub struct KeyedExecutor {
    shared: Arc<Shared>,
    platform: Platform,
    settings: ClaimSettings,
    partitions: Mutex<HashMap<(ServiceName, u16), Arc<Partition>>>,
    tasks: TaskTracker,
    closing: CancellationToken,
}

impl KeyedExecutor {
    /// Creates an executor that claims requests in the platform's log.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        let platform = shared.settings.platform;
        let retention = Duration::from_secs(platform.retention_s);
        let mut settings = ClaimSettings::new(retention);
        settings.partitions = PARTITIONS;
        let bytes = shared.settings.limits.answer_store_bytes as usize;
        let each = bytes / usize::from(PARTITIONS);
        let marks = settings.marks;
        Self {
            shared: Arc::clone(shared),
            platform: Platform::new(platform.addr).with_timeout(platform.timeout()),
            settings: settings.with_memory(marks, each),
            partitions: Mutex::default(),
            tasks: TaskTracker::new(),
            closing: CancellationToken::new(),
        }
    }

    /// Starts to follow the partitions of `service` for which this node is among the first
    /// [`FOLLOWERS`] of `guards` in the order of preference.
    pub fn prepare(&self, service: &ServiceName, guards: &[NodeId]) {
        for partition in 0..PARTITIONS {
            let order = rank_guards(service, partition, guards);
            if order.iter().take(FOLLOWERS).any(|id| *id == self.shared.id) {
                self.partition(service, partition);
            }
        }
    }

    /// Runs `request`, or returns the stored response of an earlier attempt with the same key.
    ///
    /// # Errors
    ///
    /// Returns a refusal when there is no response.
    pub async fn answer(
        &self,
        guard: &Arc<Guard>,
        upstream: Arc<Upstream>,
        call: &Call,
        key: &HeaderValue,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        upstream.probe(call)?;
        let (head, body) = request.into_parts();
        let body = self.collect(body).await?;
        let key = key.to_str().map_err(|_| Reason::BadRequest)?;
        let key = ClaimKey::new(upstream.service(), None, key);
        let partition = key.partition(PARTITIONS);
        let work = KeyedRequest {
            guard: Arc::clone(guard),
            partition: self.partition(upstream.service(), partition),
            upstream,
            call: call.clone(),
            key,
            head,
            body,
        };
        let (tx, rx) = oneshot::channel();
        self.tasks.spawn(work.run(tx));
        rx.await.map_err(|_| Reason::KeyUnknown)?
    }

    /// Waits until all requests have ended and their responses are in the log, then stops
    /// following the partitions.
    pub async fn finish(&self) {
        self.tasks.close();
        self.tasks.wait().await;
        let written = async {
            while self.unwritten() > 0 {
                sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        if timeout(FLUSH_TIMEOUT, written).await.is_err() {
            let counters = &self.shared.counters;
            counters.count("swiftcart_claims_total", "result", "unwritten");
        }
        self.closing.cancel();
    }

    /// Reads the whole body, up to the configured maximum.
    async fn collect(&self, body: Outgoing) -> Result<Bytes, Refusal> {
        let bound = self.shared.settings.limits.keyed_bytes as usize;
        match Limited::new(body, bound).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(err) if err.is::<LengthLimitError>() => Err(Reason::BodyTooLarge.into()),
            Err(err) => {
                let reason = err.downcast_ref().map(BodyError::reason);
                Err(reason.unwrap_or(Reason::BadRequest).into())
            }
        }
    }

    fn partition(&self, service: &ServiceName, partition: u16) -> Arc<Partition> {
        let mut all = self
            .partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let found = all.entry((service.clone(), partition)).or_insert_with(|| {
            let settings = self.settings.clone();
            let new = Partition::new(&self.shared, &self.platform, settings, service, partition);
            let new = Arc::new(new);
            tokio::spawn(Arc::clone(&new).follow(self.closing.clone()));
            tokio::spawn(Arc::clone(&new).drive(self.closing.clone()));
            new
        });
        Arc::clone(found)
    }

    fn unwritten(&self) -> usize {
        let all = self
            .partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        all.values().map(|partition| partition.unwritten()).sum()
    }
}

/// Returns `guards` in the order of preference for the claims of `key`.
#[must_use]
pub fn claim_guard_order(
    service: &ServiceName,
    key: &HeaderValue,
    guards: &[NodeId],
) -> Vec<NodeId> {
    let key = ClaimKey::new(service, None, key.to_str().unwrap_or_default());
    rank_guards(service, key.partition(PARTITIONS), guards)
}

//! Announces the backend server to the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use http::header::CONTENT_TYPE;
use http::{Method, Request};
use serde::Serialize;
use swiftcart_core::Readiness;
use tokio::time::{sleep, timeout};

use super::state::Shared;
use crate::client::{self, Client};

/// Shortest gap between two announcements.
const GAP: Duration = Duration::from_millis(10);

/// Longest wait for the node's answer.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    readiness: Readiness,
    ttl_ms: u64,
}

/// Sends announcements; a clone sends the same.
#[derive(Debug, Clone)]
pub(super) struct Announcer {
    shared: Arc<Shared>,
    admin: SocketAddr,
    addr: SocketAddr,
    client: Client,
}

impl Announcer {
    /// Creates the announcer, or none when the settings name no node.
    pub(super) fn new(shared: &Arc<Shared>, addr: SocketAddr) -> Option<Self> {
        Some(Self {
            shared: shared.clone(),
            admin: shared.settings.admin?,
            addr,
            client: client::new(1),
        })
    }

    /// Announces at the start, at every change and three times within the validity.
    pub(super) async fn run(self) {
        let mut changes = self.shared.watch_faults();
        loop {
            changes.mark_unchanged();
            self.announce().await;
            tokio::select! {
                () = sleep(self.gap()) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Withdraws the announcement; an unreachable node lets it expire.
    pub(super) async fn withdraw(&self) {
        self.send(Method::DELETE, Body::empty()).await;
    }

    async fn announce(&self) {
        let settings = &self.shared.settings;
        let announcement = Announcement {
            service: &settings.service,
            addr: self.addr,
            slots: settings.slots,
            connections: settings.connections,
            readiness: self.shared.readiness(),
            ttl_ms: settings.ttl_ms,
        };
        if let Ok(json) = serde_json::to_vec(&announcement) {
            self.send(Method::PUT, Body::from(json)).await;
        }
    }

    /// Returns the time to the next announcement: a cold start's end is announced at once.
    fn gap(&self) -> Duration {
        let gap = Duration::from_millis(self.shared.settings.ttl_ms / 3).max(GAP);
        match self.shared.warming_left() {
            left if left.is_zero() => gap,
            left => gap.min(left + Duration::from_millis(1)),
        }
    }

    async fn send(&self, method: Method, body: Body) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/v1/backend", self.admin))
            .header(CONTENT_TYPE, "application/json")
            .body(body);
        let Ok(request) = request else { return };
        // The next announcement comes soon, so that a failed one needs no care.
        let _ = timeout(PATIENCE, self.client.request(request)).await;
    }
}

//! Announcements of the backend server to the node beside it.

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

/// Minimum interval between two announcements.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Time-out for the node's response.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Invalid announcement bodies, as a foreign program might send them; used in rotation.
const MALFORMED_BODIES: [&str; 5] = [
    "{",
    "{\"service\":7}",
    "{\"service\":\"nobody\",\"addr\":\"10.0.0.1:1\",\"slots\":1,\"readiness\":\"asleep\"}",
    "[null]",
    "\u{feff}ready",
];

/// Body of an announcement without an id.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    readiness: Readiness,
    ttl_ms: u64,
}

/// Body of an announcement under an id.
#[derive(Debug, Serialize)]
struct AnnouncementWithId<'a> {
    service: &'a str,
    addr: SocketAddr,
    slots: u32,
    readiness: Readiness,
    warmup_ms: u128,
    domain: &'a str,
    release: &'a str,
    seq: u64,
    start_ms: u64,
}

/// Body of the withdrawal of an announcement under an id.
#[derive(Debug, Serialize)]
struct Withdrawal {
    start_ms: u64,
}

/// Sender of the announcements of a backend server.
#[derive(Debug, Clone)]
pub(super) struct Announcer {
    shared: Arc<Shared>,
    admin: SocketAddr,
    addr: SocketAddr,
    client: Client,
}

impl Announcer {
    /// Creates an announcer, or returns `None` when the settings contain no admin address.
    pub(super) fn new(shared: &Arc<Shared>, addr: SocketAddr) -> Option<Self> {
        Some(Self {
            shared: shared.clone(),
            admin: shared.settings.admin?,
            addr,
            client: client::new(1),
        })
    }

    /// Sends announcements until the task is aborted.
    ///
    /// Announces at the start, after every change and three times per validity period.
    pub(super) async fn run(self) {
        let mut changes = self.shared.watch_faults();
        loop {
            changes.mark_unchanged();
            self.announce().await;
            tokio::select! {
                () = sleep(self.interval()) => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Withdraws the announcement.
    ///
    /// If the node is unreachable, the announcement expires there.
    pub(super) async fn withdraw(&self) {
        let start_ms = self.shared.advance_sequence().start_ms;
        let withdrawal = serde_json::to_vec(&Withdrawal { start_ms });
        match (&self.shared.settings.id, withdrawal) {
            (Some(_), Ok(json)) => self.send(Method::DELETE, Body::from(json)).await,
            _ => self.send(Method::DELETE, Body::empty()).await,
        }
    }

    async fn announce(&self) {
        if self.shared.faults().malformed {
            let incarnation = self.shared.advance_sequence();
            let malformed = MALFORMED_BODIES[incarnation.seq as usize % MALFORMED_BODIES.len()];
            self.send(Method::PUT, Body::from(malformed)).await;
        }
        match &self.shared.settings.id {
            Some(_) => self.announce_with_id().await,
            None => self.announce_without_id().await,
        }
    }

    async fn announce_with_id(&self) {
        let settings = &self.shared.settings;
        let incarnation = self.shared.advance_sequence();
        let announcement = AnnouncementWithId {
            service: &settings.service,
            addr: self.addr,
            slots: settings.slots,
            readiness: self.shared.readiness(),
            warmup_ms: self.shared.warming_left().as_millis(),
            domain: &settings.domain,
            release: "standin",
            seq: incarnation.seq,
            start_ms: incarnation.start_ms,
        };
        if let Ok(json) = serde_json::to_vec(&announcement) {
            self.send(Method::PUT, Body::from(json)).await;
        }
    }

    async fn announce_without_id(&self) {
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

    /// Returns the time until the next announcement.
    ///
    /// The end of a cold start is announced at once, so it may shorten the interval.
    fn interval(&self) -> Duration {
        let interval = Duration::from_millis(self.shared.settings.ttl_ms / 3).max(MIN_INTERVAL);
        match self.shared.warming_left() {
            remaining if remaining.is_zero() => interval,
            remaining => interval.min(remaining + Duration::from_millis(1)),
        }
    }

    fn url(&self) -> String {
        let id = self.shared.settings.id.as_ref();
        let id = id.map_or_else(String::new, |id| format!("/{id}"));
        format!("http://{}/v1/backend{id}", self.admin)
    }

    async fn send(&self, method: Method, body: Body) {
        let request = Request::builder()
            .method(method)
            .uri(self.url())
            .header(CONTENT_TYPE, "application/json")
            .body(body);
        let Ok(request) = request else { return };
        // Errors are ignored because the announcement is repeated after a short interval.
        let _ = timeout(ANNOUNCE_TIMEOUT, self.client.request(request)).await;
    }
}

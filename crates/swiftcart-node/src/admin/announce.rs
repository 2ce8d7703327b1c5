//! The announcement of the backend server beside this node.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use swiftcart_core::{Backend, Readiness, ServiceName};
use tokio::time::{Instant, sleep_until};

use crate::beside::Heard;
use crate::logging::Event;
use crate::shared::Shared;

/// The shortest and longest time that an announcement may stand, in milliseconds.
const TTL_MS: (u64, u64) = (100, 600_000);

/// Connections to a backend server that does not say how many it takes, for each slot: as
/// many as its slots are in use, as many may be closing or opening.
const CONNECTIONS_A_SLOT: u32 = 2;

/// The most slots or connections that a backend server may announce.
const MAX_COUNT: u32 = 65_536;

quick_error! {
    /// Tells why an announcement is refused.
    #[derive(Debug)]
    pub enum AnnounceError {
        /// The body is no announcement.
        Shape(err: serde_path_to_error::Error<serde_json::Error>) {
            from()
            source(err)
            display("{}: {}", err.path(), err.inner())
        }
        /// The service's name is empty or too long.
        Service(name: String) {
            display("service: {name:?} is refused: use 1 to 63 of the characters a-z, 0-9 and -")
        }
        /// The address cannot be reached.
        Addr(addr: SocketAddr) {
            display("addr: {addr} is refused: use the IP address and port of the backend server")
        }
        /// The id cannot be passed on.
        Id(id: String) {
            display("{id:?} is refused: use visible ASCII characters in a backend server's id")
        }
        /// A number is out of range.
        Range(key: &'static str, value: u64, min: u64, max: u64) {
            display("{key}: {value} is refused: use a whole number from {min} to {max}")
        }
    }
}

/// The body of `PUT /v1/backend`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: ServiceName,
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    #[serde(default)]
    readiness: Readiness,
    ttl_ms: u64,
}

/// The body of `PUT /v1/backend/{id}`, by which a backend server names itself.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Named {
    service: ServiceName,
    addr: SocketAddr,
    slots: u32,
    #[serde(default)]
    readiness: Readiness,
    /// Numbers the announcements, so that one that arrives late is told.
    seq: u64,
    /// How much longer the backend server is slow after its start, in milliseconds.
    #[serde(default)]
    warmup_ms: u32,
    /// The failure domain that it believes itself in; the node's own counts.
    #[serde(default)]
    domain: Option<String>,
    /// The release of its program.
    #[serde(default)]
    release: Option<String>,
}

/// Acknowledges an announcement.
#[derive(Debug, Serialize)]
pub(super) struct Taken {}

#[derive(Debug, Serialize)]
struct Refusal {
    error: String,
}

impl Announcement {
    fn parse(body: &[u8]) -> Result<Self, AnnounceError> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let found: Self = serde_path_to_error::deserialize(&mut de)?;
        found.check()?;
        Ok(found)
    }

    fn check(&self) -> Result<(), AnnounceError> {
        let name = self.service.as_str();
        let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let addr = self.addr;
        range("slots", self.slots.into(), 1, MAX_COUNT.into())?;
        range("connections", self.connections.into(), 1, MAX_COUNT.into())?;
        range("ttl_ms", self.ttl_ms, TTL_MS.0, TTL_MS.1)?;
        match addr.ip() {
            _ if !(1..=63).contains(&name.len()) || !name.bytes().all(plain) => {
                Err(AnnounceError::Service(name.into()))
            }
            IpAddr::V4(ip) if ip.is_unspecified() || ip.is_multicast() => {
                Err(AnnounceError::Addr(addr))
            }
            IpAddr::V6(ip) if ip.is_unspecified() || ip.is_multicast() => {
                Err(AnnounceError::Addr(addr))
            }
            _ if addr.port() == 0 => Err(AnnounceError::Addr(addr)),
            _ => Ok(()),
        }
    }
}

impl Named {
    fn parse(body: &[u8], ttl_ms: u32) -> Result<(Self, Announcement), AnnounceError> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let found: Self = serde_path_to_error::deserialize(&mut de)?;
        let plain = Announcement {
            service: found.service.clone(),
            addr: found.addr,
            slots: found.slots,
            connections: found.slots.saturating_mul(CONNECTIONS_A_SLOT),
            readiness: found.readiness,
            ttl_ms: ttl_ms.into(),
        };
        plain.check()?;
        Ok((found, plain))
    }
}

impl From<Announcement> for Backend {
    fn from(found: Announcement) -> Self {
        Self {
            service: found.service,
            addr: found.addr,
            slots: found.slots,
            connections: found.connections,
            readiness: found.readiness,
        }
    }
}

impl IntoResponse for AnnounceError {
    fn into_response(self) -> Response {
        let body = Refusal {
            error: self.to_string(),
        };
        (StatusCode::BAD_REQUEST, Json(body)).into_response()
    }
}

pub(super) async fn put(
    State(shared): State<Arc<Shared>>,
    body: Bytes,
) -> Result<StatusCode, AnnounceError> {
    let found = Announcement::parse(&body)?;
    let until = Instant::now() + Duration::from_millis(found.ttl_ms);
    shared.expiry.send_replace(Some(until));
    announce(&shared, Some(&found.into()));
    Ok(StatusCode::NO_CONTENT)
}

pub(super) async fn delete(State(shared): State<Arc<Shared>>) -> StatusCode {
    shared.expiry.send_replace(None);
    announce(&shared, None);
    StatusCode::NO_CONTENT
}

/// Takes the announcement of a backend server that names itself.
///
/// One that is late, or whose backend server has left, is acknowledged and changes nothing.
pub(super) async fn put_named(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    body: Bytes,
) -> Result<Json<Taken>, AnnounceError> {
    let (found, plain) = Named::parse(&body, shared.settings.limits.silence_ms())?;
    let heard = shared.beside().hear(&id, found.seq);
    match heard {
        Heard::Malformed => return Err(AnnounceError::Id(id)),
        Heard::Late | Heard::Retired => {
            info!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
                "seq" => found.seq, "outcome" => ?heard);
            return Ok(Json(Taken {}));
        }
        Heard::Replaced => {
            info!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
                "seq" => found.seq, "outcome" => ?heard, "service" => %found.service,
                "warmup_ms" => found.warmup_ms, "domain" => found.domain,
                "release" => found.release);
        }
        Heard::Newer => {}
    }
    let until = Instant::now() + Duration::from_millis(plain.ttl_ms);
    shared.expiry.send_replace(Some(until));
    show(&shared, Some(&plain.into()), heard == Heard::Replaced);
    Ok(Json(Taken {}))
}

/// Takes the departure of a backend server that names itself.
pub(super) async fn delete_named(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
) -> Json<Taken> {
    let current = shared.beside().leave(&id);
    info!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
        "outcome" => "left", "current" => current);
    if current {
        shared.expiry.send_replace(None);
        announce(&shared, None);
    }
    Json(Taken {})
}

/// Withdraws the announcement when it was not renewed in time.
pub(super) async fn expire(shared: Arc<Shared>) {
    let mut expiry = shared.expiry.subscribe();
    loop {
        let until = *expiry.borrow_and_update();
        let Some(until) = until else {
            if expiry.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            _ = expiry.changed() => {}
            () = sleep_until(until) => {
                let over = |now: &mut Option<Instant>| match *now {
                    Some(at) if at == until => now.take().is_some(),
                    _ => false,
                };
                if shared.expiry.send_if_modified(over) {
                    warn!(shared.logger, ""; "event" => Event::Expired);
                    announce(&shared, None);
                }
            }
        }
    }
}

fn announce(shared: &Shared, backend: Option<&Backend>) {
    show(shared, backend, false);
}

/// Shows the backend server to the other parts, also an equal one with another id.
fn show(shared: &Shared, backend: Option<&Backend>, replaced: bool) {
    let changed = shared.backend.send_if_modified(|now| {
        let changed = replaced || now.as_ref() != backend;
        *now = backend.cloned();
        changed
    });
    match backend {
        Some(b) if changed => {
            info!(shared.logger, ""; "event" => Event::Backend, "service" => %b.service,
                "addr" => %b.addr, "slots" => b.slots, "connections" => b.connections,
                "readiness" => ?b.readiness);
        }
        None if changed => info!(shared.logger, ""; "event" => Event::Backend, "service" => "none"),
        _ => {}
    }
}

fn range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), AnnounceError> {
    match value {
        _ if (min..=max).contains(&value) => Ok(()),
        _ => Err(AnnounceError::Range(key, value, min, max)),
    }
}

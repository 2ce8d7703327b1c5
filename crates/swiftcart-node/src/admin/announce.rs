//! Announcements of the backend server beside this node.
//!
//! The endpoints are not authenticated: any client that reaches the port can write here. An invalid
//! announcement is refused and counted, and does not change the recorded state of the backend
//! server.

mod body;
mod error;

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use slog::{info, warn};
use swiftcart_core::{Announced, AnnouncementOutcome, Backend, Readiness, Release};
use tokio::time::{Instant, sleep_until};

use crate::logging::Event;
use crate::registration::Process;
use crate::shared::Shared;
use body::{Acknowledgement, Announcement, Departure, NamedAnnouncement};
use error::AnnounceError;

pub(super) async fn put(
    State(shared): State<Arc<Shared>>,
    body: Result<Bytes, BytesRejection>,
) -> Result<StatusCode, AnnounceError> {
    let found = read(body).and_then(|body| Announcement::parse(&body));
    let found = found.inspect_err(|err| record_refusal(&shared, "-", err))?;
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

/// Handles the announcement of a backend server that announces itself under its own id.
///
/// An announcement that arrives out of order, or whose backend server has left, is acknowledged
/// and changes nothing.
pub(super) async fn put_named(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Acknowledgement>, AnnounceError> {
    let recalled = match shared.departures.recalled().await {
        true => Ok(()),
        false => Err(AnnounceError::Recalling),
    };
    let handled = recalled.and_then(|()| read(body));
    let handled = handled.and_then(|body| on_announcement(&shared, &id, &body));
    handled.inspect_err(|err| record_refusal(&shared, &id, err))?;
    secure_departures(&shared, &id).await;
    Ok(Json(Acknowledgement {}))
}

/// Handles the departure of a backend server that announces itself under its own id.
pub(super) async fn delete_named(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Acknowledgement>, AnnounceError> {
    let left = read(body).and_then(|body| leave(&shared, &id, &body));
    left.inspect_err(|err| record_refusal(&shared, &id, err))?;
    secure_departures(&shared, &id).await;
    Ok(Json(Acknowledgement {}))
}

/// Waits until a departure that is about to be acknowledged is remembered outside this process.
///
/// The acknowledgement does not wait for long, since the backend server leaves without one as well.
async fn secure_departures(shared: &Shared, id: &str) {
    if shared.publish_departures() && !shared.departures.confirmed().await {
        let counters = &shared.counters;
        counters.count("swiftcart_departures_total", "result", "unconfirmed");
        warn!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
            "outcome" => "unconfirmed");
    }
}

fn read(body: Result<Bytes, BytesRejection>) -> Result<Bytes, AnnounceError> {
    body.map_err(AnnounceError::Body)
}

fn on_announcement(shared: &Shared, id: &str, body: &[u8]) -> Result<(), AnnounceError> {
    let (found, announcement) =
        NamedAnnouncement::parse(body, shared.settings.limits.silence_ms())?;
    let start = found.start(&shared.settings.announcements)?;
    let seq = found.seq;
    check_known(shared, &found)?;
    let announced = Announced { id, start, seq };
    let now = shared.clock.now();
    let process = Process {
        release: Release::new(found.release.as_str()),
        warm: now + Duration::from_millis(found.warmup_ms.into()),
        draining: found.readiness == Readiness::Draining,
    };
    let outcome = shared
        .registration()
        .on_announcement(now, announced, process);
    let outcome = outcome.ok_or_else(|| AnnounceError::Id(id.into()))?;
    let outcome_name = outcome.as_str();
    shared
        .counters
        .count("swiftcart_announcements_total", "outcome", outcome_name);
    match outcome {
        AnnouncementOutcome::Newer => {}
        AnnouncementOutcome::MissingStart => return Err(AnnounceError::MissingStart),
        AnnouncementOutcome::Replaced
        | AnnouncementOutcome::Restarted
        | AnnouncementOutcome::Late
        | AnnouncementOutcome::Retired => {
            info!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
                "start" => start.map(|start| start.0), "seq" => seq, "outcome" => outcome_name,
                "service" => %found.service, "warmup_ms" => found.warmup_ms,
                "domain" => &found.domain, "release" => &found.release);
        }
    }
    if outcome.is_accepted() {
        let warmup = Duration::from_millis(found.warmup_ms.into());
        shared
            .warmup
            .with(|state| state.set_cold_until(now + warmup));
        let until = Instant::now() + Duration::from_millis(announcement.ttl_ms);
        shared.expiry.send_replace(Some(until));
        publish_backend(shared, Some(&announcement.into()), outcome.is_new_process());
    }
    Ok(())
}

/// Checks that the mesh knows the service and the failure domain of an announcement.
///
/// An unknown service is accepted, since a later configuration may add it. Until then the backend
/// server gets no requests. The announcement is refused if the backend server would replace one of
/// another service, which may get requests.
///
/// # Errors
///
/// Returns an error if the failure domain has no node, or if the unknown service would displace
/// another one.
fn check_known(shared: &Shared, found: &NamedAnnouncement) -> Result<(), AnnounceError> {
    let (service, domain) = (&found.service, &found.domain);
    let listed = shared.view.load().service(service.as_str()).is_some();
    let backend = shared.backend.borrow();
    let displaced = backend.as_ref().is_some_and(|b| b.service != *service);
    let members = shared.members.load();
    let own = shared.settings.domain.0 == *domain;
    match listed {
        false if displaced => Err(AnnounceError::UnknownService(service.to_string())),
        _ if !own && !members.iter().any(|member| member.domain.0 == *domain) => {
            Err(AnnounceError::UnknownDomain(domain.clone()))
        }
        _ => Ok(()),
    }
}

fn leave(shared: &Shared, id: &str, body: &[u8]) -> Result<(), AnnounceError> {
    let start = Departure::parse(body)?.start(&shared.settings.announcements)?;
    let current = shared.registration().leave(shared.clock.now(), id, start);
    info!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
        "start" => start.map(|start| start.0), "outcome" => "left", "current" => current);
    if current {
        shared.expiry.send_replace(None);
        announce(shared, None);
    }
    Ok(())
}

/// Counts and logs a refused announcement.
fn record_refusal(shared: &Shared, id: &str, err: &AnnounceError) {
    let reason = err.as_str();
    let name = "swiftcart_announcements_refused_total";
    shared.counters.count(name, "reason", reason);
    if let Some(log) = shared.call_log.irregular(shared.clock.now()) {
        warn!(log, ""; "event" => Event::Announced, "instance" => id, "outcome" => "refused",
            "reason" => reason, "error" => %err);
    }
}

/// Withdraws each announcement that is not renewed before it expires.
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
    publish_backend(shared, backend, false);
}

/// Publishes the state of the backend server to the other parts of the node.
///
/// With `replaced`, subscribers are notified even if the new process announces equal values. A
/// backend server that has signalled in a response that it is leaving is published as draining,
/// whatever readiness it announces.
fn publish_backend(shared: &Shared, backend: Option<&Backend>, replaced: bool) {
    let leaving = shared.registration().is_leaving();
    let backend = backend.map(|backend| Backend {
        readiness: match leaving {
            true => Readiness::Draining,
            false => backend.readiness,
        },
        ..backend.clone()
    });
    let changed = shared.backend.send_if_modified(|now| {
        let changed = replaced || *now != backend;
        now.clone_from(&backend);
        changed
    });
    match &backend {
        Some(b) if changed => {
            info!(shared.logger, ""; "event" => Event::Backend, "service" => %b.service,
                "addr" => %b.addr, "slots" => b.slots, "connections" => b.connections,
                "readiness" => ?b.readiness);
        }
        None => {
            shared.registration().withdrawn();
            if changed {
                info!(shared.logger, ""; "event" => Event::Backend, "service" => "none");
            }
        }
        Some(_) => {}
    }
}

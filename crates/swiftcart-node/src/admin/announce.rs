//! The announcement of the backend server beside this node.
//!
//! Anybody who reaches the port may write here. What is no sound announcement is refused and
//! counted, and leaves what is known of the backend server as it was.

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
use body::{Announcement, Departure, Named, Taken};
use error::AnnounceError;

pub(super) async fn put(
    State(shared): State<Arc<Shared>>,
    body: Result<Bytes, BytesRejection>,
) -> Result<StatusCode, AnnounceError> {
    let found = read(body).and_then(|body| Announcement::parse(&body));
    let found = found.inspect_err(|err| refused(&shared, "-", err))?;
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
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Taken>, AnnounceError> {
    let taken = read(body).and_then(|body| on_announcement(&shared, &id, &body));
    taken.inspect_err(|err| refused(&shared, &id, err))?;
    Ok(Json(Taken {}))
}

/// Takes the departure of a backend server that names itself.
pub(super) async fn delete_named(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Taken>, AnnounceError> {
    let left = read(body).and_then(|body| leave(&shared, &id, &body));
    left.inspect_err(|err| refused(&shared, &id, err))?;
    Ok(Json(Taken {}))
}

fn read(body: Result<Bytes, BytesRejection>) -> Result<Bytes, AnnounceError> {
    body.map_err(AnnounceError::Body)
}

fn on_announcement(shared: &Shared, id: &str, body: &[u8]) -> Result<(), AnnounceError> {
    let (found, plain) = Named::parse(body, shared.settings.limits.silence_ms())?;
    let start = found.start(&shared.settings.announcements)?;
    let seq = found.seq;
    known(shared, &found)?;
    let said = Announced { id, start, seq };
    let now = shared.clock.now();
    let process = Process {
        release: Release::new(found.release.as_str()),
        warm: now + Duration::from_millis(found.warmup_ms.into()),
    };
    let heard = shared.registration().on_announcement(now, said, process);
    let heard = heard.ok_or_else(|| AnnounceError::Id(id.into()))?;
    let outcome = heard.as_str();
    shared
        .counters
        .count("swiftcart_announcements_total", "outcome", outcome);
    match heard {
        AnnouncementOutcome::Newer => {}
        AnnouncementOutcome::MissingStart => return Err(AnnounceError::NoStart),
        AnnouncementOutcome::Replaced
        | AnnouncementOutcome::Restarted
        | AnnouncementOutcome::Late
        | AnnouncementOutcome::Retired => {
            info!(shared.logger, ""; "event" => Event::Announced, "instance" => id,
                "start" => start.map(|start| start.0), "seq" => seq, "outcome" => outcome,
                "service" => %found.service, "warmup_ms" => found.warmup_ms,
                "domain" => &found.domain, "release" => &found.release);
        }
    }
    if heard.is_accepted() {
        let warmup = Duration::from_millis(found.warmup_ms.into());
        shared
            .warmup
            .with(|state| state.set_cold_until(now + warmup));
        let until = Instant::now() + Duration::from_millis(plain.ttl_ms);
        shared.expiry.send_replace(Some(until));
        show(shared, Some(&plain.into()), heard.is_new_process());
    }
    Ok(())
}

/// Refuses an announcement of what the mesh does not know.
///
/// A service may come with a later configuration. Until then its backend server gets no
/// request, and must not take the place of one that does.
fn known(shared: &Shared, found: &Named) -> Result<(), AnnounceError> {
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

/// Counts and logs an announcement that is refused.
fn refused(shared: &Shared, id: &str, err: &AnnounceError) {
    let reason = err.as_str();
    let name = "swiftcart_announcements_refused_total";
    shared.counters.count(name, "reason", reason);
    if let Some(log) = shared.call_log.irregular(shared.clock.now()) {
        warn!(log, ""; "event" => Event::Announced, "instance" => id, "outcome" => "refused",
            "reason" => reason, "error" => %err);
    }
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

/// Shows the backend server to the other parts, also an equal one that took its place.
///
/// One that said in an answer that it leaves is draining, whatever it announces.
fn show(shared: &Shared, backend: Option<&Backend>, replaced: bool) {
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

//! Read-only endpoints for operators: metrics, health and state.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use serde::Serialize;
use swiftcart_core::{Backend, Member, NodeId, Table, Version};

use crate::shared::{Phase, Shared};

/// Response body of `GET /v1/state`.
#[derive(Debug, Serialize)]
pub(super) struct StateReport {
    id: NodeId,
    domain: String,
    version: Version,
    position: u64,
    digest: String,
    ready: bool,
    reason: &'static str,
    stalled_rule: Option<u16>,
    backend: Option<Backend>,
    uptime_ms: u64,
}

pub(super) async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    shared.counters.render()
}

pub(super) async fn healthz() -> &'static str {
    "ok\n"
}

pub(super) async fn readyz(State(shared): State<Arc<Shared>>) -> (StatusCode, &'static str) {
    let phase = *shared.phase.borrow();
    match phase {
        Phase::Ready => (StatusCode::OK, "ready\n"),
        _ => (StatusCode::SERVICE_UNAVAILABLE, phase.as_str()),
    }
}

pub(super) async fn state(State(shared): State<Arc<Shared>>) -> Json<StateReport> {
    let progress = shared.progress.load();
    let phase = *shared.phase.borrow();
    Json(StateReport {
        id: shared.id,
        domain: shared.settings.domain.to_string(),
        version: progress.version,
        position: progress.position.0,
        digest: progress.digest.to_string(),
        ready: phase == Phase::Ready,
        reason: phase.as_str(),
        stalled_rule: progress.stalled_rule,
        backend: shared.backend.borrow().clone(),
        uptime_ms: u64::try_from(shared.started.elapsed().as_millis()).unwrap_or(u64::MAX),
    })
}

pub(super) async fn members(State(shared): State<Arc<Shared>>) -> Json<Vec<Member>> {
    Json(shared.members.load().as_ref().clone())
}

pub(super) async fn table(State(shared): State<Arc<Shared>>) -> Json<Table> {
    Json(shared.config.load().table().clone())
}

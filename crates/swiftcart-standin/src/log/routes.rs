//! The log's HTTP side.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use http::StatusCode;
use http::header::RETRY_AFTER;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::{RECORD_BYTES, Shared};
use super::{LogFaults, LogStats, Outage, Page, Refusal};
use crate::serve::broken;

/// Records in one answer, at most.
const LIMIT: usize = 10_000;
const DEFAULT_LIMIT: usize = 1000;

/// Longest hold of a read in milliseconds.
const WAIT_MS: u64 = 60_000;
const RETRY_SECONDS: &str = "1";

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/streams/{name}", get(read).post(append))
        .route("/standin/faults", put(set_faults).get(faults))
        .route("/standin/stats", get(stats))
        .with_state(shared)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Ask {
    #[serde(default)]
    from: u64,
    limit: Option<usize>,
    #[serde(default)]
    wait: u64,
}

#[derive(Debug, Serialize)]
struct Appended {
    offset: u64,
    at: u64,
}

#[derive(Debug, Serialize)]
struct Refused {
    reason: &'static str,
    error: String,
}

/// Tells what a fault does to a request.
enum Effect {
    Refuse,
    Close,
    Stall,
}

async fn append(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    body: Body,
) -> Response {
    let body = match text(body).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&shared, refusal),
    };
    if let Some(answer) = suffer(&shared, &name).await {
        return answer;
    }
    let result = match shared.faults().late_ms {
        0 => shared.append(&name, &body),
        ms => append_late(shared.clone(), name, body, ms).await,
    };
    match result {
        Ok(_) if shared.lose_answer() => broken(),
        Ok((offset, at)) => {
            delay(&shared).await;
            (StatusCode::CREATED, Json(Appended { offset, at })).into_response()
        }
        Err(refusal) => refuse(&shared, refusal),
    }
}

/// Appends after a delay, in a task of its own: a caller that leaves does not stop it.
async fn append_late(
    shared: Arc<Shared>,
    name: String,
    body: String,
    ms: u64,
) -> Result<(u64, u64), Refusal> {
    let task = tokio::spawn(async move {
        let _held = shared.hold();
        sleep(Duration::from_millis(ms)).await;
        shared.append(&name, &body)
    });
    task.await.unwrap_or(Err(Refusal::Outage))
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    ask: Result<Query<Ask>, QueryRejection>,
) -> Response {
    let Ok(Query(ask)) = ask else {
        return refuse(&shared, Refusal::Body);
    };
    let until = Instant::now() + Duration::from_millis(ask.wait.min(WAIT_MS));
    let limit = ask.limit.unwrap_or(DEFAULT_LIMIT).min(LIMIT);
    let mut faults = shared.watch_faults();
    loop {
        faults.mark_unchanged();
        if let Some(answer) = suffer(&shared, &name).await {
            return answer;
        }
        let (page, head) = match shared.read(&name, ask.from, limit) {
            Ok(read) => read,
            Err(refusal) => return refuse(&shared, refusal),
        };
        let over = Instant::now() >= until;
        if over || page.next > ask.from {
            return answer(&shared, &name, page).await;
        }
        let _held = shared.hold();
        // Neither its end nor a change needs a distinction: the loop looks again.
        let _ = timeout_at(until, changed(head, &mut faults)).await;
    }
}

async fn changed(mut head: watch::Receiver<u64>, faults: &mut watch::Receiver<LogFaults>) {
    tokio::select! {
        _ = head.changed() => {}
        _ = faults.changed() => {}
    }
}

async fn answer(shared: &Shared, name: &str, page: Page) -> Response {
    shared.count_read(name, &page);
    delay(shared).await;
    Json(page).into_response()
}

async fn set_faults(
    State(shared): State<Arc<Shared>>,
    Json(faults): Json<LogFaults>,
) -> StatusCode {
    shared.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn faults(State(shared): State<Arc<Shared>>) -> Json<LogFaults> {
    Json(shared.faults())
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<LogStats> {
    Json(shared.stats())
}

/// Reads a record's body within the bound.
async fn text(body: Body) -> Result<String, Refusal> {
    let bytes = Limited::new(body, RECORD_BYTES)
        .collect()
        .await
        .map_err(|err| match err.is::<LengthLimitError>() {
            true => Refusal::Size,
            false => Refusal::Body,
        })?
        .to_bytes();
    String::from_utf8(bytes.into()).map_err(|_| Refusal::Body)
}

/// Returns the answer that a fault in force gives, if there is one.
async fn suffer(shared: &Shared, name: &str) -> Option<Response> {
    match effect(&shared.faults(), name)? {
        Effect::Refuse => Some(refuse(shared, Refusal::Outage)),
        Effect::Close => Some(broken()),
        Effect::Stall => {
            let _held = shared.hold();
            // The sender lives in `shared`, so that waiting ends by the fault's end only.
            let _ = shared.watch_faults().wait_for(|f| !f.stall).await;
            Some(broken())
        }
    }
}

fn effect(faults: &LogFaults, name: &str) -> Option<Effect> {
    match faults.outage {
        _ if faults.stall => Some(Effect::Stall),
        Outage::Unavailable => Some(Effect::Refuse),
        Outage::Closed => Some(Effect::Close),
        Outage::None if faults.refuse_streams.iter().any(|s| s == name) => Some(Effect::Refuse),
        Outage::None => None,
    }
}

async fn delay(shared: &Shared) {
    match shared.faults().delay_ms {
        0 => {}
        ms => sleep(Duration::from_millis(ms)).await,
    }
}

fn refuse(shared: &Shared, refusal: Refusal) -> Response {
    shared.count_refusal(refusal);
    let status = match refusal {
        Refusal::Name | Refusal::Body => StatusCode::BAD_REQUEST,
        Refusal::Size => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::Rate => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Streams | Refusal::Outage => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = Json(Refused {
        reason: refusal.as_str(),
        error: refusal.to_string(),
    });
    match refusal {
        Refusal::Rate | Refusal::Outage => {
            (status, [(RETRY_AFTER, RETRY_SECONDS)], body).into_response()
        }
        _ => (status, body).into_response(),
    }
}

//! HTTP routes of the log.

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

use super::state::{MAX_RECORD_BYTES, SharedState};
use super::{LogFaults, LogStats, Outage, Page, Refusal};
use crate::serve::aborted_response;

/// Maximum number of records in one response.
const MAX_PAGE_RECORDS: usize = 10_000;
const DEFAULT_PAGE_RECORDS: usize = 1000;

/// Maximum duration of a long poll in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
const RETRY_AFTER_SECONDS: &str = "1";

pub(super) fn router(shared: Arc<SharedState>) -> Router {
    Router::new()
        .route("/v1/streams/{name}", get(read).post(append))
        .route("/standin/faults", put(set_faults).get(faults))
        .route("/standin/stats", get(stats))
        .with_state(shared)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReadQuery {
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

/// Action of an injected fault on a request.
enum FaultAction {
    Refuse,
    Close,
    Stall,
}

async fn append(
    State(shared): State<Arc<SharedState>>,
    Path(name): Path<String>,
    body: Body,
) -> Response {
    let body = match read_text(body).await {
        Ok(body) => body,
        Err(refusal) => return refusal_response(&shared, refusal),
    };
    if let Some(answer) = fault_response(&shared, &name).await {
        return answer;
    }
    let result = match shared.faults().late_ms {
        0 => shared.append(&name, &body),
        ms => append_late(shared.clone(), name, body, ms).await,
    };
    match result {
        Ok(_) if shared.take_lost_answer() => aborted_response(),
        Ok((offset, at)) => {
            delay(&shared).await;
            (StatusCode::CREATED, Json(Appended { offset, at })).into_response()
        }
        Err(refusal) => refusal_response(&shared, refusal),
    }
}

/// Appends a record after a delay, in a separate task that continues if the client disconnects.
async fn append_late(
    shared: Arc<SharedState>,
    name: String,
    body: String,
    ms: u64,
) -> Result<(u64, u64), Refusal> {
    let task = tokio::spawn(async move {
        let _held = shared.track_held();
        sleep(Duration::from_millis(ms)).await;
        shared.append(&name, &body)
    });
    task.await.unwrap_or(Err(Refusal::Outage))
}

async fn read(
    State(shared): State<Arc<SharedState>>,
    Path(name): Path<String>,
    query: Result<Query<ReadQuery>, QueryRejection>,
) -> Response {
    let Ok(Query(query)) = query else {
        return refusal_response(&shared, Refusal::Body);
    };
    let deadline = Instant::now() + Duration::from_millis(query.wait.min(MAX_WAIT_MS));
    let limit = query
        .limit
        .unwrap_or(DEFAULT_PAGE_RECORDS)
        .min(MAX_PAGE_RECORDS);
    let mut faults = shared.watch_faults();
    loop {
        faults.mark_unchanged();
        if let Some(answer) = fault_response(&shared, &name).await {
            return answer;
        }
        let (page, head) = match shared.read(&name, query.from, limit) {
            Ok(read) => read,
            Err(refusal) => return refusal_response(&shared, refusal),
        };
        let expired = Instant::now() >= deadline;
        if expired || page.next > query.from {
            return answer(&shared, &name, page).await;
        }
        let _held = shared.track_held();
        // The loop checks the deadline, the faults and the stream again, whatever ended the wait.
        let _ = timeout_at(deadline, changed(head, &mut faults)).await;
    }
}

async fn changed(mut head: watch::Receiver<u64>, faults: &mut watch::Receiver<LogFaults>) {
    tokio::select! {
        _ = head.changed() => {}
        _ = faults.changed() => {}
    }
}

async fn answer(shared: &SharedState, name: &str, page: Page) -> Response {
    shared.count_read(name, &page);
    delay(shared).await;
    Json(page).into_response()
}

async fn set_faults(
    State(shared): State<Arc<SharedState>>,
    Json(faults): Json<LogFaults>,
) -> StatusCode {
    shared.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn faults(State(shared): State<Arc<SharedState>>) -> Json<LogFaults> {
    Json(shared.faults())
}

async fn stats(State(shared): State<Arc<SharedState>>) -> Json<LogStats> {
    Json(shared.stats())
}

/// Reads the body of a record as text, up to the maximum record size.
async fn read_text(body: Body) -> Result<String, Refusal> {
    let bytes = Limited::new(body, MAX_RECORD_BYTES)
        .collect()
        .await
        .map_err(|err| match err.is::<LengthLimitError>() {
            true => Refusal::Size,
            false => Refusal::Body,
        })?
        .to_bytes();
    String::from_utf8(bytes.into()).map_err(|_| Refusal::Body)
}

/// Returns the response that an active fault imposes, if any.
async fn fault_response(shared: &SharedState, name: &str) -> Option<Response> {
    match fault_action(&shared.faults(), name)? {
        FaultAction::Refuse => Some(refusal_response(shared, Refusal::Outage)),
        FaultAction::Close => Some(aborted_response()),
        FaultAction::Stall => {
            let _held = shared.track_held();
            // `shared` owns the sender, so the wait ends only when the fault is cleared.
            let _ = shared.watch_faults().wait_for(|f| !f.stall).await;
            Some(aborted_response())
        }
    }
}

fn fault_action(faults: &LogFaults, name: &str) -> Option<FaultAction> {
    match faults.outage {
        _ if faults.stall => Some(FaultAction::Stall),
        Outage::Unavailable => Some(FaultAction::Refuse),
        Outage::Closed => Some(FaultAction::Close),
        Outage::None if faults.refuse_streams.iter().any(|s| s == name) => {
            Some(FaultAction::Refuse)
        }
        Outage::None => None,
    }
}

async fn delay(shared: &SharedState) {
    match shared.faults().delay_ms {
        0 => {}
        ms => sleep(Duration::from_millis(ms)).await,
    }
}

fn refusal_response(shared: &SharedState, refusal: Refusal) -> Response {
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
            (status, [(RETRY_AFTER, RETRY_AFTER_SECONDS)], body).into_response()
        }
        _ => (status, body).into_response(),
    }
}

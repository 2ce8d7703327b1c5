//! HTTP routes of a backend server.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Query, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};

use super::downstream;
use super::execution::{Execution, before_deadline};
use super::state::Shared;
use super::{BackendFaults, BackendStats};
use crate::client::{self, Client};
use crate::content::{Content, ContentBody};
use crate::headers::{DIGEST, LEAVING, LOAD, RATE, STANDIN_REASON};
use crate::serve::aborted_response;

/// Default length of a response body in bytes.
const DEFAULT_BODY_BYTES: u64 = 64;

#[derive(Debug, Clone)]
struct App {
    shared: Arc<Shared>,
    client: Client,
}

pub(super) fn router(shared: Arc<Shared>) -> Router {
    let client = client::new(shared.settings.slots as usize);
    Router::new()
        .route("/health", get(health))
        .route("/load", get(load))
        .route("/standin/executions", get(executions))
        .route("/standin/faults", put(set_faults).get(faults))
        .route("/standin/stats", get(stats))
        .fallback(handle_request)
        .with_state(App { shared, client })
}

/// Response to a request whose body was received completely.
#[derive(Debug, Serialize)]
struct UploadReceipt {
    id: String,
    bytes: u64,
    digest: String,
}

#[derive(Debug, Default, Deserialize)]
struct ContentQuery {
    bytes: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExecutionsQuery {
    id: Option<String>,
    key: Option<String>,
}

/// Responds to a request, or closes the connection when a crash is simulated meanwhile.
async fn handle_request(State(app): State<App>, request: Request) -> Response {
    let mut crashes = app.shared.watch_crashes();
    tokio::select! {
        response = respond(&app, request) => response,
        _ = crashes.changed() => aborted_response(),
    }
}

async fn respond(app: &App, request: Request) -> Response {
    let mut response = match Execution::start(&app.shared, request.headers()).await {
        Ok(execution) => before_deadline(execution.deadline, run(app, execution, request))
            .await
            .unwrap_or_else(|| error_response(StatusCode::GATEWAY_TIMEOUT, "deadline")),
        Err(refusal) => {
            app.shared.count_refusal(refusal);
            error_response(StatusCode::SERVICE_UNAVAILABLE, refusal.as_str())
        }
    };
    let load = HeaderValue::from(u16::from(app.shared.load()));
    response.headers_mut().insert(LOAD, load);
    let (rate, leaving) = app.shared.advertise();
    if let Some(rate) = rate.and_then(|rate| HeaderValue::try_from(rate.to_string()).ok()) {
        response.headers_mut().insert(RATE, rate);
    }
    if leaving {
        response
            .headers_mut()
            .insert(LEAVING, HeaderValue::from_static("1"));
    }
    response
}

async fn run(app: &App, execution: Execution, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let Some(upload) = read_body(app, &execution, body).await else {
        return error_response(StatusCode::BAD_REQUEST, "body");
    };
    execution.run().await;
    let settings = &app.shared.settings;
    if let Some(node) = settings.node {
        let paths = &settings.downstream;
        let calls = downstream::call_all(
            &app.client,
            node,
            paths,
            &execution,
            &head.method,
            &head.headers,
        );
        if let Err(err) = calls.await {
            return error_response(StatusCode::BAD_GATEWAY, &err.to_string());
        }
    }
    let faults = app.shared.faults();
    let status = faults
        .fail_status
        .and_then(|s| StatusCode::from_u16(s).ok());
    match status {
        _ if app.shared.lose_answer() => {
            execution.finish();
            aborted_response()
        }
        Some(status) => {
            execution.finish();
            error_response(status, "fault")
        }
        None if head.method == Method::HEAD => {
            execution.finish();
            StatusCode::OK.into_response()
        }
        None if head.method == Method::GET => {
            let query = Query::<ContentQuery>::try_from_uri(&head.uri).unwrap_or_default();
            let len = query.bytes.unwrap_or(DEFAULT_BODY_BYTES);
            let body = Content::new(execution.id(), len);
            content(execution, body, faults.break_body).await
        }
        None => receipt(execution, &upload, faults.break_body),
    }
}

/// Reads a request body to its end, or returns `None` when the body is truncated.
async fn read_body(app: &App, execution: &Execution, mut body: Body) -> Option<UploadReceipt> {
    let mut hasher = blake3::Hasher::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return None;
        };
        if let Some(data) = frame.data_ref() {
            hasher.update(data);
            bytes += data.len() as u64;
            app.shared.count_bytes(data.len() as u64);
        }
    }
    Some(UploadReceipt {
        id: execution.id().to_owned(),
        bytes,
        digest: hasher.finalize().to_hex().to_string(),
    })
}

/// Responds with `content` and finishes the execution when the last byte has been handed over.
async fn content(execution: Execution, content: Content, break_after: Option<u64>) -> Response {
    let headers = [
        (DIGEST, content.digest().await),
        (CONTENT_LENGTH.as_str(), content.len().to_string()),
    ];
    let stream = ContentBody::new(content, break_after, move || execution.finish());
    (headers, Body::new(stream)).into_response()
}

/// Responds with the receipt of an upload.
///
/// The execution is finished before the response is sent, since its effect does not depend on
/// delivery of the response.
fn receipt(execution: Execution, upload: &UploadReceipt, break_after: Option<u64>) -> Response {
    execution.finish();
    let json = serde_json::to_vec(upload).unwrap_or_default();
    let content = Content::from(json);
    let length = [(CONTENT_LENGTH, content.len())];
    let json = [(CONTENT_TYPE, "application/json")];
    let stream = ContentBody::new(content, break_after, || {});
    (length, json, Body::new(stream)).into_response()
}

async fn health(State(app): State<App>) -> Response {
    match app.shared.reported_health() {
        true => (StatusCode::OK, "ok\n").into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
    }
}

async fn load(State(app): State<App>) -> String {
    format!("{}\n", app.shared.reported_load())
}

async fn executions(State(app): State<App>, Query(query): Query<ExecutionsQuery>) -> Response {
    match (query.id, query.key) {
        (Some(id), _) => Json(app.shared.with_ledger(|l| l.by_id(&id))).into_response(),
        (None, Some(key)) => Json(app.shared.with_ledger(|l| l.by_key(&key))).into_response(),
        (None, None) => Json(app.shared.with_ledger(Clone::clone)).into_response(),
    }
}

async fn set_faults(State(app): State<App>, Json(faults): Json<BackendFaults>) -> StatusCode {
    app.shared.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn faults(State(app): State<App>) -> Json<BackendFaults> {
    Json(app.shared.faults())
}

async fn stats(State(app): State<App>) -> Json<BackendStats> {
    Json(app.shared.stats())
}

fn error_response(status: StatusCode, reason: &str) -> Response {
    let value = HeaderValue::from_str(reason).unwrap_or(HeaderValue::from_static("error"));
    (status, [(STANDIN_REASON, value)], format!("{reason}\n")).into_response()
}

//! HTTP listener for operators, metrics and announcements of the backend server.

mod announce;
mod report;

use std::sync::Arc;

use axum::Router;
use axum::routing::{get, put};
use slog::error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::logging::Event;
use crate::shared::Shared;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Serves admin requests on `listeners` until the node has stopped.
pub async fn run(shared: Arc<Shared>, listeners: Vec<TcpListener>) {
    let app = router(Arc::clone(&shared));
    let mut tasks = JoinSet::new();
    tasks.spawn(announce::expire(Arc::clone(&shared)));
    for listener in listeners {
        tasks.spawn(serve(Arc::clone(&shared), listener, app.clone()));
    }
    while tasks.join_next().await.is_some() {}
}

async fn serve(shared: Arc<Shared>, listener: TcpListener, app: Router) {
    if let Err(err) = axum::serve(listener, app).await {
        error!(shared.logger, ""; "event" => Event::Failed, "part" => "admin", "error" => %err);
    }
}

fn router(shared: Arc<Shared>) -> Router {
    add_fault_route(Router::new())
        .route("/metrics", get(report::metrics))
        .route("/healthz", get(report::healthz))
        .route("/readyz", get(report::readyz))
        .route("/v1/state", get(report::state))
        .route("/v1/members", get(report::members))
        .route("/v1/table", get(report::table))
        .route("/v1/backend", put(announce::put).delete(announce::delete))
        .route(
            "/v1/backend/{id}",
            put(announce::put_named).delete(announce::delete_named),
        )
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

/// Adds the route for fault injection, which release builds do not have.
#[cfg(feature = "faults")]
fn add_fault_route(router: Router<Arc<Shared>>) -> Router<Arc<Shared>> {
    use axum::Json;
    use axum::extract::State;
    let cut = async |State(shared): State<Arc<Shared>>, Json(addrs): Json<Vec<_>>| {
        shared.faults.cut(addrs);
    };
    router.route("/v1/faults", put(cut))
}

#[cfg(not(feature = "faults"))]
const fn add_fault_route(router: Router<Arc<Shared>>) -> Router<Arc<Shared>> {
    router
}

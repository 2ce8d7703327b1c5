//! Follows configuration and members for the other parts of the node.

use std::sync::Arc;

use crate::shared::Shared;

/// Keeps the routing view of `shared` until the node has stopped.
pub async fn run(shared: Arc<Shared>) {
    shared.stopping.cancelled().await;
}

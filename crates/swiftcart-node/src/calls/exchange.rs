//! One request and the head of its answer, over a pooled connection.

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use swiftcart_core::Reason;
use tokio::time::{Instant, timeout_at};

use super::body::Outgoing;
use super::conn::SendError;
use super::pool::{Pool, Pooled};

/// Stale connections that one request may meet before it fails.
const MAX_STALE: usize = 4;

/// Sends `request` and waits until `until` for the answer's head.
///
/// A connection that turns out to be closed before anything was written is
/// replaced by another one. When the pool is ended, no answer can come any more. `handing` is
/// called each time that a connection is about to take the request.
///
/// # Errors
///
/// Returns why there is no answer: `unreachable` when no connection took the
/// request; the reason's outcome is `not-run` only when nothing was written.
pub async fn exchange(
    pool: &Arc<Pool>,
    until: Instant,
    mut request: Request<Outgoing>,
    unreachable: Reason,
    mut handing: impl FnMut(),
) -> Result<(Response<Incoming>, Pooled), Reason> {
    for _ in 0..MAX_STALE {
        let mut pooled = match timeout_at(until, pool.take()).await {
            Ok(Ok(pooled)) => pooled,
            Ok(Err(_)) => return Err(unreachable),
            Err(_) => return Err(Reason::DeadlinePassed),
        };
        handing();
        let sent = tokio::select! {
            sent = timeout_at(until, pooled.conn().send(request)) => sent,
            () = pool.ended() => {
                return Err(match pooled.conn().wrote() {
                    true => Reason::AnswerBroken,
                    false => unreachable,
                });
            }
        };
        match sent {
            Ok(Ok(response)) => return Ok((response, pooled)),
            Ok(Err(SendError::Unsent(Some(back)))) if pooled.is_reused() => request = *back,
            Ok(Err(SendError::Unsent(_))) => return Err(unreachable),
            Ok(Err(SendError::Sent(err))) if err.is_user() => return Err(Reason::CallerGone),
            Ok(Err(SendError::Sent(_))) => return Err(Reason::AnswerBroken),
            Err(_) if pooled.conn().wrote() => return Err(Reason::Timeout),
            Err(_) => return Err(Reason::DeadlinePassed),
        }
    }
    Err(unreachable)
}

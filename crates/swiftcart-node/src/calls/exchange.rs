//! Exchange of one request and its response head over a pooled connection.

use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use swiftcart_core::Reason;
use tokio::time::{Instant, timeout_at};

use super::body::Outgoing;
use super::conn::{ExchangeId, SendError};
use super::pool::{Pool, Pooled};

/// Maximum number of connections tried for one request before it fails.
const MAX_CONNECTION_ATTEMPTS: usize = 4;

/// Sends `request` and waits until `until` for the response's head.
///
/// A reused connection that was closed before anything was written is replaced by another one. If
/// the pool is shut down, no response can arrive any more and the exchange fails. `on_send` is
/// called each time before the request is sent on a connection, with the identifier of the exchange.
///
/// # Errors
///
/// Returns the reason why there is no response, or `unreachable` if no connection took the request.
/// The outcome of the reason is `not-run` only if nothing was written.
pub async fn exchange(
    pool: &Arc<Pool>,
    until: Instant,
    mut request: Request<Outgoing>,
    unreachable: Reason,
    mut on_send: impl FnMut(ExchangeId),
) -> Result<(Response<Incoming>, Pooled), Reason> {
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut pooled = match timeout_at(until, pool.take()).await {
            Ok(Ok(pooled)) => pooled,
            Ok(Err(_)) => return Err(unreachable),
            Err(_) => return Err(Reason::DeadlinePassed),
        };
        on_send(pooled.conn().next_exchange());
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

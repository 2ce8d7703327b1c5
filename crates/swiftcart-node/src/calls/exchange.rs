//! Exchange of one request and its response head over a pooled connection.
//!
//! A response counts only if no earlier request on the connection can have caused it. The rule holds
//! for connections to backend servers and for those between nodes; [`ConnHistory`] decides it.
//!
//! [`ConnHistory`]: swiftcart_core::ConnHistory

use std::sync::Arc;

use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use swiftcart_core::{AnswerId, Reason};
use tokio::time::{Instant, timeout_at};

use super::body::Outgoing;
use super::conn::{ExchangeId, SendError};
use super::pool::{Pool, Pooled};

/// Maximum number of connections tried for one request before it fails.
const MAX_CONNECTION_ATTEMPTS: usize = 4;

/// Header with the id of a request.
#[derive(Debug, Clone, Copy)]
pub struct IdHeader<'a> {
    /// Name of the header.
    pub name: &'a HeaderName,
    /// `true` if the remote side repeats the id in its response.
    pub echoed: bool,
}

/// Response that counts for a request.
#[derive(Debug)]
pub struct Exchanged {
    /// Head of the response, and its body, which arrives on the connection.
    pub response: Response<Incoming>,
    /// Connection of the response.
    pub pooled: Pooled,
    /// Identifier of the exchange.
    pub exchange: ExchangeId,
}

/// Request that got no response, or only one that does not count.
#[derive(Debug)]
pub struct Unanswered {
    /// Reason why there is no response.
    pub reason: Reason,
    /// Last exchange of the request, if it was sent on a connection.
    pub exchange: Option<ExchangeId>,
    /// Head of the response that does not count.
    pub head: Option<Box<Parts>>,
}

impl IdHeader<'_> {
    /// Compares the id of a response with the id of the request.
    fn relation(self, headers: &HeaderMap, id: &HeaderValue) -> AnswerId {
        let mut values = headers.get_all(self.name).iter();
        match (values.next(), values.next()) {
            _ if !self.echoed => AnswerId::Own,
            (None, _) => AnswerId::Missing,
            (Some(value), None) if value == id => AnswerId::Own,
            _ => AnswerId::Foreign,
        }
    }
}

impl Unanswered {
    fn with_head(mut self, response: Response<Incoming>) -> Self {
        self.head = Some(Box::new(response.into_parts().0));
        self
    }
}

impl From<Reason> for Unanswered {
    fn from(reason: Reason) -> Self {
        Self {
            reason,
            exchange: None,
            head: None,
        }
    }
}

impl From<Unanswered> for Reason {
    fn from(unanswered: Unanswered) -> Self {
        unanswered.reason
    }
}

/// Sends `request` and waits until `until` for the response's head.
///
/// A reused connection that was closed before anything was written is replaced by another one. If
/// the pool is shut down, no response can arrive any more and the exchange fails. `on_send` is
/// called each time before the request is sent on a connection.
///
/// # Errors
///
/// Returns the reason why there is no response, or `unreachable` if no connection took the request.
/// The outcome of the reason is `not-run` only if nothing was written. The reason is
/// [`Reason::AnswerBroken`] if the response may belong to an earlier request on the connection.
pub async fn exchange(
    pool: &Arc<Pool>,
    until: Instant,
    ids: IdHeader<'_>,
    mut request: Request<Outgoing>,
    unreachable: Reason,
    mut on_send: impl FnMut(),
) -> Result<Exchanged, Unanswered> {
    let id = request.headers().get(ids.name).cloned();
    let id = id.unwrap_or_else(|| HeaderValue::from_static(""));
    let mut last = None;
    let failed = |reason: Reason, last: Option<ExchangeId>| Unanswered {
        exchange: last,
        ..reason.into()
    };
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut pooled = match timeout_at(until, pool.take(&id)).await {
            Ok(Ok(pooled)) => pooled,
            Ok(Err(_)) => return Err(failed(unreachable, last)),
            Err(_) => return Err(failed(Reason::DeadlinePassed, last)),
        };
        let exchange = pooled.conn().begin(&id, until);
        last = Some(exchange);
        on_send();
        match send(pool, &mut pooled, until, request, unreachable).await {
            SendOutcome::Response(response) => {
                let relation = ids.relation(response.headers(), &id);
                return match pooled.conn().counts(relation) {
                    true => Ok(Exchanged {
                        response,
                        pooled,
                        exchange,
                    }),
                    false => Err(failed(Reason::AnswerBroken, last).with_head(response)),
                };
            }
            SendOutcome::Unsent(back) => request = back,
            SendOutcome::Failed(reason) => return Err(failed(reason, last)),
        }
    }
    Err(failed(unreachable, last))
}

/// Outcome of one send on one connection.
enum SendOutcome {
    /// The head of a response arrived.
    Response(Response<Incoming>),
    /// The reused connection was closed before anything was written; another one may be used.
    Unsent(Request<Outgoing>),
    /// There is no response.
    Failed(Reason),
}

/// Sends `request` on the connection of `pooled` and waits for the response's head.
async fn send(
    pool: &Pool,
    pooled: &mut Pooled,
    until: Instant,
    request: Request<Outgoing>,
    unreachable: Reason,
) -> SendOutcome {
    let sent = tokio::select! {
        sent = timeout_at(until, pooled.conn().send(request)) => sent,
        () = pool.ended() => {
            return SendOutcome::Failed(match pooled.conn().wrote() {
                true => Reason::AnswerBroken,
                false => unreachable,
            });
        }
    };
    let is_late = Instant::now() >= until;
    let reason = match sent {
        Ok(Ok(response)) => return SendOutcome::Response(response),
        // Whatever failed, the end of the exchange is the cause.
        _ if is_late && pooled.conn().wrote() => Reason::Timeout,
        _ if is_late => Reason::DeadlinePassed,
        Ok(Err(SendError::Unsent(Some(back)))) if pooled.is_reused() => {
            return SendOutcome::Unsent(*back);
        }
        Ok(Err(SendError::Unsent(_))) => unreachable,
        Ok(Err(SendError::Body)) => Reason::CallerGone,
        Ok(Err(SendError::Sent(err))) if err.is_user() => Reason::CallerGone,
        Ok(Err(SendError::Sent(_))) => Reason::AnswerBroken,
        Err(_) if pooled.conn().wrote() => Reason::Timeout,
        Err(_) => Reason::DeadlinePassed,
    };
    SendOutcome::Failed(reason)
}

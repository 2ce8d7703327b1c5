//! Execution of one request with an idempotency key: it is claimed, handed over at most once, and
//! its response is stored.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use swiftcart_core::{
    AttemptId, CallResult, Claim, ClaimKey, ClaimTicket, Decision, ExecutionResult, Outcome,
    Reason, Refusal, RequestHash, StartPermit,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::partition::{OfferResult, Partition, Verdict};
use super::stored::{replay, store};
use crate::calls::admissions::Slot;
use crate::calls::answer::{Answer, AnswerError, is_framed};
use crate::calls::body::Outgoing;
use crate::calls::guard::Guard;
use crate::calls::headers::{strip_hop_by_hop, strip_internal};
use crate::calls::request::Call;
use crate::calls::rng::with_rng;
use crate::calls::upstream::{Sent, Upstream};

/// Maximum wait for the first complete read of a partition.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Reply to the caller.
pub type Reply = Result<Response<Answer>, Refusal>;

/// Request with an idempotency key, with its whole body.
#[derive(Debug)]
pub struct KeyedRequest {
    pub guard: Arc<Guard>,
    pub partition: Arc<Partition>,
    pub upstream: Arc<Upstream>,
    pub call: Call,
    pub key: ClaimKey,
    pub head: Parts,
    pub body: Bytes,
}

impl KeyedRequest {
    /// Runs the request and sends the reply to `caller`.
    pub async fn run(self, mut caller: oneshot::Sender<Reply>) {
        let reply = self.decide(&mut caller).await;
        // A caller that has disconnected can retry with the same key.
        let _ = caller.send(reply);
    }

    async fn decide(&self, caller: &mut oneshot::Sender<Reply>) -> Reply {
        let catch_up = Instant::now() + CATCH_UP_TIMEOUT;
        let due = self.guard.shared().clock.tokio(self.call.due.at());
        self.partition.caught_up(catch_up.min(due)).await;
        let (ticket, verdict) = match self.partition.offer(self.claim()) {
            OfferResult::Decided(decision) => return self.settle(decision),
            OfferResult::Waits(ticket, verdict) => (ticket, verdict),
        };
        let verdict = tokio::select! {
            verdict = verdict => verdict,
            () = caller.closed() => return Err(self.cancel_claim(ticket, Reason::CallerGone.into())),
        };
        match verdict {
            Ok(Verdict::Won) => {}
            Ok(Verdict::Settled(decision)) => return self.settle(decision),
            Err(_) => return Err(Reason::KeyUnknown.into()),
        }
        let entered = tokio::select! {
            entered = self.upstream.enter_probed(&self.call) => entered,
            () = caller.closed() => Err(Reason::CallerGone.into()),
        };
        match entered {
            Ok(slot) => self.hand_over(ticket, slot).await,
            Err(refusal) => Err(self.cancel_claim(ticket, refusal)),
        }
    }

    async fn hand_over(&self, ticket: ClaimTicket, slot: Slot) -> Reply {
        let start = self.partition.try_start(ticket)?;
        self.count("run");
        match self.exchange(start).await {
            Ok((head, body)) => {
                slot.finish(CallResult::Success);
                let answer = store(&head, &body);
                self.partition
                    .record_result(ticket, ExecutionResult::Whole(answer));
                Ok(Response::from_parts(head, Answer::text(body)))
            }
            Err(reason) => {
                slot.finish(CallResult::Failure);
                let finish = match reason.outcome() {
                    Outcome::NotRun => ExecutionResult::NotRun,
                    Outcome::Unknown | Outcome::Done => ExecutionResult::Broken,
                };
                self.partition.record_result(ticket, finish);
                Err(reason.into())
            }
        }
    }

    /// Sends the request to the backend server and reads the whole response.
    async fn exchange(&self, start: StartPermit) -> Result<(http::response::Parts, Bytes), Reason> {
        let mut request = Request::new(Outgoing::Whole(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        request.headers_mut().clone_from(&self.head.headers);
        let sent = self.upstream.send(&self.call, start.until, request).await?;
        let until = self.guard.shared().clock.tokio(start.until);
        self.read(sent, until).await
    }

    /// Reads the response, which ends by `until`.
    async fn read(
        &self,
        sent: Sent,
        until: Instant,
    ) -> Result<(http::response::Parts, Bytes), Reason> {
        let Sent { exchanged, run } = sent;
        let (mut head, body) = exchanged.response.into_parts();
        if !is_framed(&self.head.method, head.status, &head.headers) {
            return Err(Reason::AnswerBroken);
        }
        strip_hop_by_hop(&mut head.headers);
        strip_internal(&mut head.headers);
        let bound = self.guard.shared().settings.limits.keyed_bytes as usize;
        let answer = Answer::stream(body, exchanged.pooled, until).with_run(run);
        match Limited::new(answer, bound).collect().await {
            Ok(body) => Ok((head, body.to_bytes())),
            Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(Reason::AnswerTooLarge),
            Err(err) => Err(match err.downcast_ref() {
                Some(AnswerError::TimedOut) => Reason::Timeout,
                _ => Reason::AnswerBroken,
            }),
        }
    }

    fn claim(&self) -> Claim {
        let target = self.head.uri.path_and_query().map_or("", |p| p.as_str());
        Claim {
            key: self.key,
            hash: RequestHash::new(self.head.method.as_str(), target, &self.body),
            attempt: AttemptId(with_rng(rand::Rng::random)),
            deadline: self.call.due.at(),
        }
    }

    fn settle(&self, decision: Decision) -> Reply {
        let (name, reply) = match decision {
            Decision::Replay(stored) => ("replayed", Ok(replay(&stored))),
            Decision::Conflict => ("conflict", Err(Reason::KeyReused.into())),
            Decision::InProgress { retry_after } => {
                let refusal = Refusal::new(Reason::KeyInProgress).with_retry(retry_after);
                ("in-progress", Err(refusal))
            }
            Decision::Unknown(reason) => ("unknown", Err(reason.into())),
            Decision::Refuse(refusal) => ("refused", Err(refusal)),
            // Unreachable: the partition turns this decision into `OfferResult::Waits`.
            Decision::Wait(_) => ("unknown", Err(Reason::KeyUnknown.into())),
        };
        self.count(name);
        reply
    }

    /// Cancels a claim that was not handed over, and returns the refusal for its caller.
    fn cancel_claim(&self, ticket: ClaimTicket, refusal: Refusal) -> Refusal {
        self.count("given-up");
        match self.partition.cancel_claim(ticket) {
            Outcome::NotRun => refusal,
            Outcome::Unknown | Outcome::Done => Reason::KeyUnknown.into(),
        }
    }

    fn count(&self, result: &'static str) {
        let counters = &self.guard.shared().counters;
        counters.count("swiftcart_claims_total", "result", result);
    }
}

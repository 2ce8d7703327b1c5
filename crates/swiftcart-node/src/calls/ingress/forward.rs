//! Forwarding of requests to the guard beside another backend server.

use http::{HeaderValue, Response};
use swiftcart_core::{HOP_ALLOWANCE, Load, Pace, Pick, Reason, Refusal, RetryState, Slowdown};

use super::original::OriginalRequest;
use super::{FailedAttempt, Ingress, lock};
use crate::calls::answer::{Answer, is_framed};
use crate::calls::body::Gate;
use crate::calls::exchange::{Exchanged, IdHeader, exchange};
use crate::calls::guard::Report;
use crate::calls::headers::{
    ATTEMPT, LOAD, NOTICE, RETRIED, SERVICE, TERMS, process_notice, refusal_reason, retry_after,
    strip_hop_by_hop, strip_internal,
};
use crate::calls::request::Call;

/// Maximum body length of an upload that is sent without waiting for `100 Continue`, in bytes.
///
/// A guard receives only a few bodies at once, since other requests queue behind them on its link.
const MAX_UNPROMPTED_BYTES: u64 = 8 << 10;

impl Ingress {
    /// Sends the request to the guard beside the chosen backend server.
    pub(super) async fn forward(
        &self,
        call: &Call,
        pick: &Pick,
        service: &str,
        original: &OriginalRequest,
        retry_state: RetryState,
    ) -> Result<Response<Answer>, FailedAttempt> {
        let now = self.shared.clock.now();
        let left = call.due.minus(HOP_ALLOWANCE).left_ms(now);
        let left = left.ok_or(Reason::DeadlinePassed)?;
        let waits =
            original.exceeds_buffer || (call.is_upload() && original.exceeds(MAX_UNPROMPTED_BYTES));
        let gate = waits.then(Gate::default);
        let mut request = original.request(gate.clone());
        if let Some(gate) = gate {
            let headers = request.headers_mut();
            headers.insert(
                http::header::EXPECT,
                HeaderValue::from_static("100-continue"),
            );
            hyper::ext::on_informational(&mut request, move |_| gate.open());
        }
        let name = HeaderValue::from_str(service).map_err(|_| Reason::BadRequest)?;
        let headers = request.headers_mut();
        headers.insert(SERVICE, name);
        let deadline = &self.shared.settings.headers.deadline_ms.0;
        headers.insert(deadline.clone(), HeaderValue::from(left));
        match &call.terms {
            Some(terms) => headers.insert(TERMS, terms.header_value()),
            None => headers.insert(
                ATTEMPT,
                HeaderValue::from(u16::from(retry_state.attempt().0)),
            ),
        };
        if let Some(notice) = lock(&self.notices).of(pick.id) {
            let notice = HeaderValue::try_from(notice.to_string());
            headers.insert(NOTICE, notice.map_err(|_| Reason::BadRequest)?);
        }
        let until = self.shared.clock.tokio(call.due.at());
        let method = request.method().clone();
        let pool = self.peers.pool(pick.peer);
        let names = &self.shared.settings.headers;
        let ids = IdHeader {
            name: &names.request_id.0,
            echoed: true,
        };
        let unreachable = Reason::PeerUnreachable;
        let exchanged = exchange(&pool, until, ids, request, unreachable, || {}).await;
        let Exchanged {
            mut response,
            pooled,
            exchange,
        } = exchanged.map_err(FailedAttempt::from)?;
        if !names.own_ids {
            response.headers_mut().remove(&names.request_id.0);
        }
        if let Some(notice) = process_notice(response.headers()) {
            lock(&self.notices).note(pick.id, notice);
            response.headers_mut().remove(NOTICE);
        }
        // A guard frames every response with a length or as chunks.
        match is_framed(&method, response.status(), response.headers()) {
            true => split_refusal(response.map(|body| Answer::stream(body, pooled, until))),
            false => Err(Reason::AnswerBroken.into()),
        }
        .map_err(|failed| failed.with_exchange(exchange))
    }
}

/// Separates a guard's refusal from a backend server's response.
fn split_refusal(mut response: Response<Answer>) -> Result<Response<Answer>, FailedAttempt> {
    let Some(reason) = refusal_reason(response.headers()) else {
        let load = response.headers_mut().remove(LOAD);
        strip_hop_by_hop(response.headers_mut());
        strip_internal(response.headers_mut());
        if let Some(load) = load {
            response.headers_mut().insert(LOAD, load);
        }
        return Ok(response);
    };
    let refusal = Refusal {
        reason,
        retry_after: retry_after(response.headers()),
    };
    let failed = FailedAttempt {
        refusal,
        retried: response.headers().contains_key(RETRIED),
        load: take_load_report(&mut response),
        exchange: None,
        answer: None,
    };
    response.into_body().discard();
    Err(failed)
}

/// Removes the guard's load header from a response and returns the parsed report.
pub(super) fn take_load_report(response: &mut Response<Answer>) -> Option<Report> {
    let value = response.headers_mut().remove(LOAD)?;
    let mut numbers = value.to_str().ok()?.split(' ').map(str::parse);
    let mut next = || numbers.next()?.ok();
    Some(Report {
        load: Load {
            running: next()?,
            queued: next()?,
            limit: next()?,
        },
        pace: next().filter(|pace| *pace > 0).map(Pace),
        slowdown: next().filter(|slowdown| *slowdown > 0).map(Slowdown),
    })
}

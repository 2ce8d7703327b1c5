//! The hop to the guard beside another backend server.

use http::{HeaderValue, Response};
use swiftcart_core::{HOP_ALLOWANCE, Load, Pace, Pick, Reason, Refusal, RetryState};

use super::original::Original;
use super::{Failed, Ingress, lock};
use crate::calls::answer::{Answer, is_framed};
use crate::calls::body::Gate;
use crate::calls::exchange::exchange;
use crate::calls::guard::Report;
use crate::calls::headers::{
    ATTEMPT, LOAD, NOTICE, RETRIED, SERVICE, TERMS, retry_after, strip_hop_by_hop, strip_internal,
    told, verdict,
};
use crate::calls::request::Call;

/// The longest body of an upload that is sent before the guard asks for it. A guard takes
/// few bodies at once, since other requests wait behind them on its link.
const ASKED_BYTES: u64 = 8 << 10;

impl Ingress {
    /// Sends the request to the guard beside the chosen backend server.
    pub(super) async fn forward(
        &self,
        call: &Call,
        pick: &Pick,
        service: &str,
        original: &Original,
        tries: RetryState,
    ) -> Result<Response<Answer>, Failed> {
        let now = self.shared.clock.now();
        let left = call.due.less(HOP_ALLOWANCE).left_ms(now);
        let left = left.ok_or(Reason::DeadlinePassed)?;
        let asks = original.long || (call.is_upload() && original.exceeds(ASKED_BYTES));
        let gate = asks.then(Gate::default);
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
            Some(terms) => headers.insert(TERMS, terms.value()),
            None => headers.insert(ATTEMPT, HeaderValue::from(u16::from(tries.attempt().0))),
        };
        if let Some(told) = lock(&self.told).of(pick.id) {
            let told = HeaderValue::try_from(told.to_string());
            headers.insert(NOTICE, told.map_err(|_| Reason::BadRequest)?);
        }
        let until = self.shared.clock.tokio(call.due.at());
        let method = request.method().clone();
        let pool = self.peers.pool(pick.peer);
        let exchanged = exchange(&pool, until, request, Reason::PeerUnreachable, || {}).await;
        let (mut response, pooled) = exchanged?;
        if let Some(told) = told(response.headers()) {
            lock(&self.told).note(pick.id, told);
            response.headers_mut().remove(NOTICE);
        }
        // A guard gives every answer a length or sends it in chunks.
        match is_framed(&method, response.status(), response.headers()) {
            true => judge(response.map(|body| Answer::stream(body, pooled))),
            false => Err(Reason::AnswerBroken.into()),
        }
    }
}

/// Tells a guard's refusal from a backend server's answer.
fn judge(mut response: Response<Answer>) -> Result<Response<Answer>, Failed> {
    let Some(reason) = verdict(response.headers()) else {
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
    let failed = Failed {
        refusal,
        retried: response.headers().contains_key(RETRIED),
        load: take_load(&mut response),
        answer: None,
    };
    response.into_body().discard();
    Err(failed)
}

/// Takes what the guard told out of an answer.
pub(super) fn take_load(response: &mut Response<Answer>) -> Option<Report> {
    let value = response.headers_mut().remove(LOAD)?;
    let mut numbers = value.to_str().ok()?.split(' ').map(str::parse);
    let mut next = || numbers.next()?.ok();
    Some(Report {
        load: Load {
            running: next()?,
            queued: next()?,
            limit: next()?,
        },
        pace: next().map(Pace),
    })
}

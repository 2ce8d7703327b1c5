//! The backend server beside this node: its connections, its admission and the hand-over.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Request, Response};
use hyper::body::Incoming;
use swiftcart_core::{
    AdmissionSettings, AdmissionState, Backend, Deadline, Instant, LimitRule, LimitSettings,
    Limits, Load, Notice, Outcome, Pace, ProcessNotice, Readiness, Reason, Refusal, ServiceName,
};

use super::admissions::{Admissions, Slot};
use super::body::Outgoing;
use super::exchange::exchange;
use super::headers::DEADLINE;
use super::notices::Notices;
use super::pool::{Pool, Pooled};
use super::request::Call;
use super::runs::{Handed, Run, Runs};
use crate::clock::Clock;
use crate::registration::Identity;
use crate::settings::Headers;
use crate::shared::Shared;

/// The backend server as it announced itself, with its connections and admission.
#[derive(Debug, Clone)]
pub struct Upstream {
    backend: Backend,
    /// Which process of which backend server it is, where that is known.
    identity: Option<Identity>,
    headers: Arc<Headers>,
    clock: Clock,
    pool: Arc<Pool>,
    admissions: Arc<Admissions>,
    runs: Arc<Runs>,
    notices: Arc<Notices>,
}

/// The head of an answer, and what its body comes over.
#[derive(Debug)]
pub struct Sent {
    /// The answer.
    pub response: Response<Incoming>,
    /// The connection that it comes over.
    pub pooled: Pooled,
    /// The request, as it was handed over.
    pub run: Run,
}

impl Upstream {
    /// Creates the upstream for `backend`, with what is kept of the `old` one.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, old: Option<&Self>, backend: Backend) -> Self {
        let limits = &shared.settings.limits;
        let identity = shared.registration().identity().cloned();
        let same = old.filter(|old| {
            let same_addr = old.backend.addr == backend.addr;
            same_addr && old.backend.service == backend.service && old.identity == identity
        });
        let admissions = same.map_or_else(
            || {
                let settings = AdmissionSettings {
                    queue: limits.queue,
                    wait: limits.queue_timeout(),
                    limit: LimitSettings {
                        rule: match limits.adaptive {
                            true => LimitRule::Aimd,
                            false => LimitRule::Fixed,
                        },
                        ..LimitSettings::default()
                    },
                    link: shared.settings.link.rate(),
                    ..AdmissionSettings::default()
                };
                Arc::new(Admissions::new(shared, settings))
            },
            |old| Arc::clone(&old.admissions),
        );
        let runs = same.map_or_else(
            || Runs::new(shared, shared.registration().id()),
            |old| Arc::clone(&old.runs),
        );
        let notices = same.map_or_else(
            || Notices::new(shared, identity.as_ref()),
            |old| Arc::clone(&old.notices),
        );
        let pool = same
            .filter(|old| old.backend.connections == backend.connections)
            .map_or_else(
                || {
                    let bound = backend.connections as usize;
                    let (idle, connect) = (limits.idle_timeout(), limits.connect_timeout());
                    Arc::new(Pool::new(backend.addr, bound, idle, connect).with_end())
                },
                |old| Arc::clone(&old.pool),
            );
        Self {
            backend,
            identity,
            headers: Arc::clone(&shared.headers),
            clock: shared.clock,
            pool,
            admissions,
            runs,
            notices,
        }
    }

    /// Takes over the table's limits, the number of the service's guards and the gate.
    pub fn adopt(&self, limits: Limits, guards: usize, stopping: bool) {
        self.admissions
            .set_admission_state(admission_state(self.backend.readiness, stopping));
        self.admissions.resize(self.backend.slots, limits, guards);
        if self.backend.readiness == Readiness::Draining {
            self.runs.leaves();
        }
    }

    /// Takes no new work any more; what waits is refused, since it has not run.
    pub fn close(&self) {
        self.admissions
            .set_admission_state(AdmissionState::Draining);
    }

    /// Makes way for `next`, which has taken this backend server's place.
    ///
    /// When it is a later process of the same backend server, this one is gone, and so are the
    /// answers to what it was running. Another backend server may have started while this one
    /// finishes its work.
    pub fn give_way(&self, next: &Self) {
        if Arc::ptr_eq(&self.admissions, &next.admissions) {
            return;
        }
        self.close();
        match (&self.identity, &next.identity) {
            (Some(old), Some(new)) if new.succeeds(old) => {
                self.runs.replaced();
                self.pool.end();
            }
            (Some(old), Some(new)) if new.id != old.id => self.runs.replaced(),
            _ => {}
        }
    }

    /// Notes that the backend server has left, or is heard of no more.
    pub fn leave(&self) {
        self.runs.leaves();
        self.close();
    }

    /// Returns the service that the backend server belongs to.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.backend.service
    }

    /// Returns the load to carry back on answers.
    #[must_use]
    pub fn load(&self) -> Load {
        self.admissions.load()
    }

    /// Returns the backend server's pace to carry back on answers.
    #[must_use]
    pub fn pace(&self) -> Option<Pace> {
        self.admissions.pace()
    }

    /// Returns what the backend server said of itself in its answers.
    #[must_use]
    pub fn told(&self) -> ProcessNotice {
        self.notices.told()
    }

    /// Takes what another node was told of the backend server.
    pub fn relay(&self, told: ProcessNotice) {
        let notice = self.notices.relay(told);
        notice.into_iter().for_each(|notice| self.heed(notice));
    }

    /// Closes unused connections.
    pub fn sweep(&self) {
        self.pool.sweep(tokio::time::Instant::now());
    }

    /// Waits for the right to run a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub async fn enter(&self, call: &Call) -> Result<Slot, Refusal> {
        self.admissions.enter(call.admission_request()).await
    }

    /// Tells whether a request would be let in now, and takes its part of the rate.
    ///
    /// # Errors
    ///
    /// Returns why the request would not be run.
    pub fn probe(&self, call: &Call) -> Result<(), Refusal> {
        self.admissions.probe(call.admission_request())
    }

    /// Waits for the right to run a request after [`probe`](Self::probe).
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub async fn enter_probed(&self, call: &Call) -> Result<Slot, Refusal> {
        self.admissions.enter_probed(call.admission_request()).await
    }

    /// Hands `request` over, to be started before `until`, and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the reason's outcome is `not-run` only when
    /// nothing of the request was written. [`Reason::Crashed`] when the backend server has ended.
    pub async fn send(
        &self,
        call: &Call,
        until: Instant,
        mut request: Request<Outgoing>,
    ) -> Result<Sent, Reason> {
        self.address(request.headers_mut(), until, call)?;
        let until = self.clock.tokio(until);
        let handed = Handed::new(call.print, request.body());
        let mut run = None;
        let handing = || {
            let before = run.replace(self.runs.start(&self.pool, handed.clone()));
            if let Some(before) = before {
                before.unsent();
            }
        };
        let start = self.clock.now();
        let sent = exchange(&self.pool, until, request, Reason::ConnectFailed, handing).await;
        match (sent, run) {
            (Ok((response, pooled)), Some(run)) => {
                let notice = self.notices.observe(call, start, response.headers());
                notice.into_iter().for_each(|notice| self.heed(notice));
                Ok(Sent {
                    run: run.with_status(response.status()),
                    response,
                    pooled,
                })
            }
            (Err(Reason::AnswerBroken), Some(run)) => Err(run.answer_lost().await),
            (Err(reason), Some(run)) if reason.outcome() == Outcome::NotRun => {
                run.unsent();
                Err(reason)
            }
            (Err(reason), _) => Err(reason),
            (Ok(_), None) => Err(Reason::AnswerBroken),
        }
    }

    /// Acts on what the backend server has said of itself.
    fn heed(&self, notice: Notice) {
        self.admissions.set_rate(notice.rate);
        if notice.leaving {
            self.leave();
            self.notices.leaves(self.identity.as_ref());
        }
    }

    /// Sets the headers that the backend server gets from the node beside it.
    fn address(&self, headers: &mut HeaderMap, until: Instant, call: &Call) -> Result<(), Reason> {
        let names = &*self.headers;
        match names.time_left {
            true => {
                let left = Deadline::at_instant(until).left_ms(self.clock.now());
                let left = left.ok_or(Reason::DeadlinePassed)?;
                headers.insert(names.deadline_ms.0.clone(), HeaderValue::from(left));
            }
            false => {
                let unix = HeaderValue::from(self.clock.unix_ms(until));
                headers.insert(DEADLINE, unix);
            }
        }
        if let (Some(name), Some(identity)) = (&names.target, &self.identity) {
            headers.insert(name.0.clone(), identity.id.clone());
        }
        headers.insert(names.request_id.0.clone(), call.id.0.clone());
        Ok(())
    }
}

const fn admission_state(readiness: Readiness, stopping: bool) -> AdmissionState {
    match readiness {
        _ if stopping => AdmissionState::Stopping,
        Readiness::Warming => AdmissionState::Warming,
        Readiness::Ready | Readiness::OnTrial => AdmissionState::Open,
        Readiness::Draining => AdmissionState::Draining,
    }
}

//! Client of the local backend server: connections, admission control and sending of requests.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Request};
use swiftcart_core::{
    AdmissionSettings, AdmissionState, Backend, Deadline, Instant, LimitRule, LimitSettings,
    Limits, Load, Notice, Outcome, ProcessNotice, Readiness, Reason, Refusal, ServiceName,
    StatedLoad,
};

use super::admissions::{Admissions, Slot};
use super::body::Outgoing;
use super::exchange::{Exchanged, IdHeader, Unanswered, exchange};
use super::guard::Report;
use super::headers::DEADLINE;
use super::notices::Notices;
use super::pool::Pool;
use super::request::Call;
use super::runs::{FingerprintSource, Run, RunTracker};
use super::stated_load::StatedLoadReader;
use crate::clock::Clock;
use crate::nested::SharedRunningRequests;
use crate::registration::Identity;
use crate::settings::Headers;
use crate::shared::Shared;

/// Local backend server as announced, with its connections and admission control.
#[derive(Debug, Clone)]
pub struct Upstream {
    backend: Backend,
    /// Identity of the backend server's process, if it is known.
    identity: Option<Identity>,
    headers: Arc<Headers>,
    clock: Clock,
    pool: Arc<Pool>,
    admissions: Arc<Admissions>,
    runs: Arc<RunTracker>,
    notices: Arc<Notices>,
    running_requests: Arc<SharedRunningRequests>,
    stated_load_reader: Arc<StatedLoadReader>,
}

/// Response of the backend server to a tracked run.
#[derive(Debug)]
pub struct Sent {
    /// Response of the backend server.
    pub exchanged: Exchanged,
    /// Tracked run of the request.
    pub run: Run,
}

impl Upstream {
    /// Creates the upstream for `backend`.
    ///
    /// The admission control, the runs and the notices of `old` are kept if service, address and
    /// process are the same. Its connection pool is kept if the connection bound is the same, too.
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
            || RunTracker::new(shared, shared.registration().id()),
            |old| Arc::clone(&old.runs),
        );
        let notices = same.map_or_else(
            || Notices::new(shared, identity.as_ref()),
            |old| Arc::clone(&old.notices),
        );
        let stated_load_reader = same.map_or_else(
            || StatedLoadReader::new(shared),
            |old| Arc::clone(&old.stated_load_reader),
        );
        let pool = same
            .filter(|old| old.backend.connections == backend.connections)
            .map_or_else(
                || {
                    let bound = backend.connections as usize;
                    let (idle, connect) = (limits.idle_timeout(), limits.connect_timeout());
                    Arc::new(Pool::new(backend.addr, bound, idle, connect).with_end_signal())
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
            running_requests: Arc::clone(&shared.running_requests),
            stated_load_reader,
        }
    }

    /// Applies the limits of the service, the number of its guards and the admission state.
    pub fn apply_limits(&self, limits: Limits, guards: usize, stopping: bool) {
        self.admissions
            .set_admission_state(admission_state(self.backend.readiness, stopping));
        self.admissions.resize(self.backend.slots, limits, guards);
        if self.backend.readiness == Readiness::Draining {
            self.runs.mark_leaving();
        }
    }

    /// Stops admitting requests; waiting requests are refused, since they have not run.
    pub fn close(&self) {
        self.admissions
            .set_admission_state(AdmissionState::Draining);
    }

    /// Closes this upstream after `next` has replaced it.
    ///
    /// If `next` is a later process of the same backend server, this process has ended and its
    /// running requests get no responses. If `next` is a different backend server, this one may
    /// still be finishing its requests.
    pub fn replace_with(&self, next: &Self) {
        if Arc::ptr_eq(&self.admissions, &next.admissions) {
            return;
        }
        self.close();
        match (&self.identity, &next.identity) {
            (Some(old), Some(new)) if new.succeeds(old) => {
                self.runs.record_successor();
                self.pool.end();
            }
            (Some(old), Some(new)) if new.id != old.id => self.runs.record_successor(),
            _ => {}
        }
    }

    /// Records that the backend server is leaving or is no longer announced.
    pub fn mark_leaving(&self) {
        self.runs.mark_leaving();
        self.close();
    }

    /// Returns the service of the backend server.
    #[must_use]
    pub const fn service(&self) -> &ServiceName {
        &self.backend.service
    }

    /// Returns the load that is reported with responses.
    #[must_use]
    pub fn load(&self) -> Load {
        self.admissions.load()
    }

    /// Returns the state that is reported with responses.
    #[must_use]
    pub fn report(&self) -> Report {
        self.admissions.report()
    }

    /// Returns the last load that the backend server stated with its pace.
    #[must_use]
    pub fn stated_load(&self) -> Option<StatedLoad> {
        self.admissions.stated_load()
    }

    /// Returns the current notice of the backend server, or `None` if nothing is known of its process
    /// yet.
    #[must_use]
    pub fn process_notice(&self) -> Option<ProcessNotice> {
        self.notices.process_notice()
    }

    /// Applies a notice of the backend server that another node received.
    pub fn relay(&self, notice: ProcessNotice) {
        let notice = self.notices.relay(notice);
        notice
            .into_iter()
            .for_each(|notice| self.apply_notice(notice));
    }

    /// Closes idle connections.
    pub fn sweep(&self) {
        self.pool.sweep(tokio::time::Instant::now());
    }

    /// Waits for a slot to run a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request is not admitted.
    pub async fn enter(&self, call: &Call) -> Result<Slot, Refusal> {
        self.admissions.enter(call.admission_request()).await
    }

    /// Checks that a request would be admitted now, and charges it to the rate limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request would not be admitted.
    pub fn probe(&self, call: &Call) -> Result<(), Refusal> {
        self.admissions.probe(call.admission_request())
    }

    /// Waits for a slot to run a request that passed [`probe`](Self::probe).
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request is not admitted.
    pub async fn enter_probed(&self, call: &Call) -> Result<Slot, Refusal> {
        self.admissions.enter_probed(call.admission_request()).await
    }

    /// Sends `request` with the deadline `until`, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the reason when there is no response. The outcome of the reason is `not-run` only
    /// when nothing of the request was written. The reason is [`Reason::Crashed`] when the backend
    /// server has ended.
    pub async fn send(
        &self,
        call: &Call,
        until: Instant,
        mut request: Request<Outgoing>,
    ) -> Result<Sent, Unanswered> {
        self.set_headers(request.headers_mut(), until, call)?;
        let rank = call.parent_rank(self.clock.now());
        let due = Deadline::at_instant(until);
        let _running = rank.and_then(|rank| self.running_requests.start(due, rank));
        let until = self.clock.tokio(until);
        let source = FingerprintSource::new(call.print, request.body());
        let mut run = None;
        let on_send = || {
            let before = run.replace(self.runs.start(&self.pool, source.clone()));
            if let Some(before) = before {
                before.unsent();
            }
        };
        let start = self.clock.now();
        let ids = IdHeader {
            name: &self.headers.request_id.0,
            echoed: self.headers.own_ids,
        };
        let unreachable = Reason::ConnectFailed;
        let exchanged = exchange(&self.pool, until, ids, request, unreachable, on_send).await;
        match (exchanged, run) {
            (Ok(exchanged), Some(run)) => {
                let headers = exchanged.response.headers();
                let notice = self.notices.observe(call, start, headers);
                notice
                    .into_iter()
                    .for_each(|notice| self.apply_notice(notice));
                if let Some(stated) = self.stated_load_reader.read(call, headers) {
                    self.admissions.set_stated_load(stated);
                }
                Ok(Sent {
                    run: run.with_status(exchanged.response.status()),
                    exchanged,
                })
            }
            (Err(unanswered), Some(run)) => Err(record_unanswered(unanswered, run).await),
            (Err(unanswered), None) => Err(unanswered),
            (Ok(_), None) => Err(Reason::AnswerBroken.into()),
        }
    }

    /// Applies a notice of the backend server.
    fn apply_notice(&self, notice: Notice) {
        self.admissions.set_rate(notice.rate);
        if notice.leaving {
            self.mark_leaving();
            self.notices.mark_draining(self.identity.as_ref());
        }
    }

    /// Sets the headers that the guard adds for the backend server.
    fn set_headers(
        &self,
        headers: &mut HeaderMap,
        until: Instant,
        call: &Call,
    ) -> Result<(), Reason> {
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

/// Records the result of a run that got no response, and returns the reason for it.
async fn record_unanswered(mut unanswered: Unanswered, run: Run) -> Unanswered {
    match unanswered.reason {
        // The backend server is alive, whatever request it answered.
        Reason::AnswerBroken if unanswered.head.is_some() => run.rejected(),
        Reason::AnswerBroken => unanswered.reason = run.record_break().await,
        reason if reason.outcome() == Outcome::NotRun => run.unsent(),
        _ => {}
    }
    unanswered
}

const fn admission_state(readiness: Readiness, stopping: bool) -> AdmissionState {
    match readiness {
        _ if stopping => AdmissionState::Stopping,
        Readiness::Warming => AdmissionState::Warming,
        Readiness::Ready | Readiness::OnTrial => AdmissionState::Open,
        Readiness::Draining => AdmissionState::Draining,
    }
}

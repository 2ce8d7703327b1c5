//! Tracking of the requests that run at the local backend server, and detection of its crashes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use rand::Rng;
use slog::warn;
use swiftcart_core::{BodyHash, Crash, CrashDetector, CrashId, Fingerprint, Reason, RunId};

use super::answer::AnswerEnd;
use super::body::{BodySource, Outgoing};
use super::pool::{Pool, ProbeResult};
use super::request::CallPrint;
use super::rng::with_rng;
use crate::logging::Event;
use crate::shared::Shared;

/// Maximum duration of the check whether the backend server has ended, for which a broken request
/// waits. A local connection opens or is refused within a millisecond. On an instance with a tenth
/// of a core the node itself may have to wait for CPU time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of request fingerprints in the log line of a crash.
const MAX_LOGGED_REQUESTS: usize = 32;

/// Tracker of the requests that one process of the backend server runs.
#[derive(Debug)]
pub struct RunTracker {
    shared: Arc<Shared>,
    /// Name that the process announced for itself.
    instance: Option<Arc<str>>,
    watch: Mutex<CrashDetector<FingerprintSource>>,
}

/// Data for the fingerprint of a request; the body is hashed only when the fingerprint is needed.
#[derive(Debug, Clone)]
pub struct FingerprintSource {
    call: CallPrint,
    body: FingerprintBody,
}

#[derive(Debug, Clone)]
enum FingerprintBody {
    Empty,
    Whole(Bytes),
    Streamed(Arc<BodySource>),
}

/// Request that was sent to the backend server; it counts as broken when it is dropped without a
/// response.
#[derive(Debug)]
pub struct Run {
    runs: Arc<RunTracker>,
    pool: Arc<Pool>,
    id: RunId,
    open: bool,
    /// `true` if the response shows that the backend server can run the request.
    is_success: bool,
}

impl FingerprintSource {
    /// Creates the fingerprint data of a call with `body`.
    #[must_use]
    pub fn new(call: CallPrint, body: &Outgoing) -> Self {
        let body = match body {
            Outgoing::Empty => FingerprintBody::Empty,
            Outgoing::Whole(bytes) => FingerprintBody::Whole(bytes.clone()),
            Outgoing::Stream(stream) => FingerprintBody::Streamed(Arc::clone(stream.source())),
        };
        Self { call, body }
    }

    /// Returns the fingerprint of the request; `None` while its body has not been read as a whole.
    #[must_use]
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        let body = match &self.body {
            FingerprintBody::Empty => BodyHash::default(),
            FingerprintBody::Whole(bytes) => BodyHash::new([&bytes[..]]),
            FingerprintBody::Streamed(source) => source.print()?,
        };
        Some(self.call.with_body(body))
    }
}

impl RunTracker {
    /// Creates the tracker of the process that is named `instance`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, instance: Option<&str>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            instance: instance.map(Arc::from),
            watch: Mutex::default(),
        })
    }

    /// Records that a request is sent to the backend server on a connection of `pool`.
    pub fn start(self: &Arc<Self>, pool: &Arc<Pool>, source: FingerprintSource) -> Run {
        let now = self.shared.clock.now();
        Run {
            runs: Arc::clone(self),
            pool: Arc::clone(pool),
            id: self.lock().start(now, source),
            open: true,
            is_success: false,
        }
    }

    /// Records that the backend server announced that it is leaving.
    pub fn mark_leaving(&self) {
        self.lock().leaves();
    }

    /// Records that a later process has replaced this one.
    pub fn record_successor(&self) {
        let now = self.shared.clock.now();
        let crash = self.lock().replaced(now, random_crash_id());
        self.report(crash);
    }

    fn record_gone(&self) {
        let now = self.shared.clock.now();
        let crash = self.lock().connect_refused(now, random_crash_id());
        self.report(crash);
    }

    fn record_break(&self, run: RunId) {
        let now = self.shared.clock.now();
        let crash = self.lock().answer_lost(now, run);
        self.report(crash);
    }

    /// Records a complete response. If `is_success` is set, the request is no longer suspected of
    /// crashing backend servers.
    fn record_answer(&self, run: RunId, is_success: bool) {
        let source = self.lock().answered(run);
        let suspects = &self.shared.suspects;
        let source =
            source.filter(|source| is_success && suspects.may_be_quarantined(source.call.head));
        if let Some(print) = source.and_then(|source| source.fingerprint()) {
            suspects.finished(self.shared.clock.now(), print);
        }
    }

    fn has_ended(&self) -> bool {
        self.lock().has_ended()
    }

    /// Reports the crash of the backend server with the requests that it was running.
    fn report(&self, crash: Option<Crash<FingerprintSource>>) {
        let Some(Crash { id, runs }) = crash else {
            return;
        };
        let shared = &self.shared;
        shared
            .counters
            .count("swiftcart_crashes_total", "part", "guard");
        let prints: Vec<Fingerprint> = runs
            .iter()
            .filter_map(FingerprintSource::fingerprint)
            .collect();
        shared.suspects.crashed(shared.clock.now(), id, &prints);
        let logged: Vec<String> = prints
            .iter()
            .take(MAX_LOGGED_REQUESTS)
            .map(ToString::to_string)
            .collect();
        warn!(shared.logger, ""; "event" => Event::Crashed,
            "instance" => self.instance.as_deref().unwrap_or("-"),
            "crash" => format!("{:016x}", id.0), "running" => runs.len(),
            "prints" => logged.join(","));
    }

    fn lock(&self) -> MutexGuard<'_, CrashDetector<FingerprintSource>> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run {
    /// Records the status of the response.
    ///
    /// A server error does not clear the request of suspicion: the backend server may have failed
    /// or passed the deadline before it reached the code that crashes it.
    #[must_use]
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.is_success = !status.is_server_error();
        self
    }

    /// Records that the request was not sent to the backend server.
    pub fn unsent(mut self) {
        self.open = false;
        self.runs.lock().unsent(self.id);
    }

    /// Records that the backend server is alive, but that its response cannot be passed on.
    pub fn rejected(mut self) {
        self.open = false;
        self.runs.record_answer(self.id, false);
    }

    /// Records how the response ended.
    pub fn close(mut self, end: AnswerEnd) {
        match end {
            AnswerEnd::Whole => {
                self.open = false;
                self.runs.record_answer(self.id, self.is_success);
            }
            AnswerEnd::Broken => drop(tokio::spawn(async move { self.record_break().await })),
            AnswerEnd::TimedOut | AnswerEnd::Gone => {}
        }
    }

    /// Records that the response was incomplete, and returns the reason: [`Reason::Crashed`] if the
    /// backend server has ended, otherwise [`Reason::AnswerBroken`].
    pub async fn record_break(mut self) -> Reason {
        self.open = false;
        self.runs.record_break(self.id);
        if !self.runs.has_ended() && self.pool.probe(PROBE_TIMEOUT).await == ProbeResult::Refused {
            self.runs.record_gone();
        }
        match self.runs.has_ended() {
            true => Reason::Crashed,
            false => Reason::AnswerBroken,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.open {
            self.runs.record_break(self.id);
        }
    }
}

fn random_crash_id() -> CrashId {
    CrashId(with_rng(Rng::random))
}

//! What the backend server beside this node was handed, and whether it has ended under it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use rand::Rng;
use slog::warn;
use swiftcart_core::{BodyPrint, Crash, CrashId, Fingerprint, Reason, RunId, Watch};

use super::answer::End;
use super::body::{Outgoing, Source};
use super::pool::{Found, Pool};
use super::request::CallPrint;
use super::rng::with_rng;
use crate::logging::Event;
use crate::shared::Shared;

/// How long the caller of a broken request waits for the word whether the backend server has
/// ended. On the own instance a connection opens or is refused within a millisecond; on one with
/// a tenth of a core the node itself may have to wait for its turn.
const PROBE_FOR: Duration = Duration::from_millis(50);

/// The most requests that the line of one crash names.
const NAMED: usize = 32;

/// The requests that one process of the backend server was handed.
#[derive(Debug)]
pub struct Runs {
    shared: Arc<Shared>,
    /// The process, as it calls itself.
    instance: Option<Arc<str>>,
    watch: Mutex<Watch<Handed>>,
}

/// What stands for a request that was handed over; its body is looked at only when it has to be.
#[derive(Debug, Clone)]
pub struct Handed {
    call: CallPrint,
    body: HandedBody,
}

#[derive(Debug, Clone)]
enum HandedBody {
    Empty,
    Whole(Bytes),
    Passed(Arc<Source>),
}

/// A request that the backend server was handed; dropped without an answer, it counts as broken.
#[derive(Debug)]
pub struct Run {
    runs: Arc<Runs>,
    pool: Arc<Pool>,
    id: RunId,
    open: bool,
    /// Whether the answer shows that the backend server can run the request.
    sound: bool,
}

impl Handed {
    /// Creates what stands for a call with this body.
    #[must_use]
    pub fn new(call: CallPrint, body: &Outgoing) -> Self {
        let body = match body {
            Outgoing::Empty => HandedBody::Empty,
            Outgoing::Whole(bytes) => HandedBody::Whole(bytes.clone()),
            Outgoing::Stream(stream) => HandedBody::Passed(Arc::clone(stream.source())),
        };
        Self { call, body }
    }

    /// Returns the request's fingerprint; `None` while its body is not there as a whole.
    #[must_use]
    pub fn print(&self) -> Option<Fingerprint> {
        let body = match &self.body {
            HandedBody::Empty => BodyPrint::default(),
            HandedBody::Whole(bytes) => BodyPrint::new([&bytes[..]]),
            HandedBody::Passed(source) => source.print()?,
        };
        Some(self.call.with_body(body))
    }
}

impl Runs {
    /// Creates the watch over the process that calls itself `instance`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, instance: Option<&str>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            instance: instance.map(Arc::from),
            watch: Mutex::default(),
        })
    }

    /// Notes that the backend server is handed a request over a connection of `pool`.
    pub fn start(self: &Arc<Self>, pool: &Arc<Pool>, handed: Handed) -> Run {
        let now = self.shared.clock.now();
        Run {
            runs: Arc::clone(self),
            pool: Arc::clone(pool),
            id: self.lock().start(now, handed),
            open: true,
            sound: false,
        }
    }

    /// Notes that the backend server said that it leaves.
    pub fn leaves(&self) {
        self.lock().leaves();
    }

    /// Notes that a later process has taken its place.
    pub fn succeeded(&self) {
        let now = self.shared.clock.now();
        let crash = self.lock().succeeded(now, draw());
        self.report(crash);
    }

    fn gone(&self) {
        let now = self.shared.clock.now();
        let crash = self.lock().gone(now, draw());
        self.report(crash);
    }

    fn broke(&self, run: RunId) {
        let now = self.shared.clock.now();
        let crash = self.lock().broke(now, run);
        self.report(crash);
    }

    /// Notes a whole answer; a `sound` one clears the request where it was suspected.
    fn answered(&self, run: RunId, sound: bool) {
        let handed = self.lock().answered(run);
        let suspects = &self.shared.suspects;
        let handed = handed.filter(|handed| sound && suspects.may_be_quarantined(handed.call.head));
        if let Some(print) = handed.and_then(|handed| handed.print()) {
            suspects.finished(self.shared.clock.now(), print);
        }
    }

    fn has_ended(&self) -> bool {
        self.lock().has_ended()
    }

    /// Makes known that the backend server has ended, and what it was running.
    fn report(&self, crash: Option<Crash<Handed>>) {
        let Some(Crash { id, runs }) = crash else {
            return;
        };
        let shared = &self.shared;
        shared
            .counters
            .count("swiftcart_crashes_total", "part", "guard");
        let prints: Vec<Fingerprint> = runs.iter().filter_map(Handed::print).collect();
        shared.suspects.crashed(shared.clock.now(), id, &prints);
        let named: Vec<String> = prints.iter().take(NAMED).map(ToString::to_string).collect();
        warn!(shared.logger, ""; "event" => Event::Crashed,
            "instance" => self.instance.as_deref().unwrap_or("-"),
            "crash" => format!("{:016x}", id.0), "running" => runs.len(),
            "prints" => named.join(","));
    }

    fn lock(&self) -> MutexGuard<'_, Watch<Handed>> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Run {
    /// Notes the answer's status: a backend server that failed, or gave up at the deadline, may
    /// not have come to what ends it.
    #[must_use]
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.sound = !status.is_server_error();
        self
    }

    /// Notes that the backend server was not handed the request after all.
    pub fn unsent(mut self) {
        self.open = false;
        self.runs.lock().unsent(self.id);
    }

    /// Notes that the backend server lives, and gave an answer that cannot be passed on.
    pub fn rejected(mut self) {
        self.open = false;
        self.runs.answered(self.id, false);
    }

    /// Notes how the answer ended.
    pub fn close(mut self, end: End) {
        match end {
            End::Whole => {
                self.open = false;
                self.runs.answered(self.id, self.sound);
            }
            End::Broken => drop(tokio::spawn(async move { self.broke().await })),
            End::Gone => {}
        }
    }

    /// Notes that the answer broke off, and returns why: an end of the backend server or less.
    pub async fn broke(mut self) -> Reason {
        self.open = false;
        self.runs.broke(self.id);
        if !self.runs.has_ended() && self.pool.probe(PROBE_FOR).await == Found::Nobody {
            self.runs.gone();
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
            self.runs.broke(self.id);
        }
    }
}

fn draw() -> CrashId {
    CrashId(with_rng(Rng::random))
}

//! Detection of backend server crashes and of the requests that were running.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Instant;

/// Time for which a request with a lost answer is remembered.
///
/// A crash without any other sign is detected only when the successor process announces itself,
/// which takes a few seconds.
const LOST_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of requests with a lost answer that are remembered.
const MAX_LOST: usize = 128;

/// Id of one backend server crash, drawn at random by its guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// Id of one request that was handed to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(u64);

/// Unexpected end of a backend server process, with the requests that were running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash<T> {
    /// Id of the crash. Requests whose answers turn out to be lost later are reported under the
    /// same id.
    pub id: CrashId,
    /// Requests that were running.
    pub runs: Vec<T>,
}

/// Detector that tells a crash of a backend server from connections that break while the backend
/// server runs.
///
/// A lost answer alone is no proof of a crash, because connections are also reset for other
/// reasons. The backend server counts as crashed if, after a lost answer, its address refuses
/// connections or a later process has replaced it. An answer to a request that was handed over
/// after the loss shows that the backend server is running, and clears earlier losses. The end of a
/// backend server that has announced its shutdown is not a crash.
///
/// `T` is the description that the caller keeps for each request.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{CrashDetector, CrashId, Instant};
///
/// let now = Instant::from_millis(0);
/// let mut detector = CrashDetector::default();
/// let (first, _second) = (detector.start(now, "first"), detector.start(now, "second"));
/// assert_eq!(detector.answer_lost(now, first), None);
/// let crash = detector.connect_refused(now, CrashId(7)).expect("two requests in flight");
/// assert_eq!(crash.runs, ["first", "second"]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashDetector<T> {
    next: u64,
    running: BTreeMap<RunId, Run<T>>,
    lost: VecDeque<LostAnswer<T>>,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Run<T> {
    start: Instant,
    request: T,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct LostAnswer<T> {
    at: Instant,
    request: T,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// There is no sign that the process has ended.
    Running,
    /// The backend server has announced its shutdown.
    Leaving,
    /// The process has ended.
    Ended { id: CrashId, at: Instant },
}

impl<T> Default for CrashDetector<T> {
    fn default() -> Self {
        Self {
            next: 0,
            running: BTreeMap::new(),
            lost: VecDeque::new(),
            state: State::Running,
        }
    }
}

impl<T> CrashDetector<T> {
    /// Records that a request is handed to the backend server.
    pub fn start(&mut self, now: Instant, request: T) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        self.running.insert(
            id,
            Run {
                start: now,
                request,
            },
        );
        id
    }

    /// Removes a request that was not handed to the backend server after all.
    pub fn unsent(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    /// Records a complete answer and returns the request.
    pub fn answered(&mut self, run: RunId) -> Option<T> {
        let Run { start, request } = self.running.remove(&run)?;
        self.lost.retain(|answer| answer.at >= start);
        if matches!(self.state, State::Ended { at, .. } if at < start) {
            self.state = State::Running;
        }
        Some(request)
    }

    /// Records that no complete answer came. Returns the crash if the backend server is known to
    /// have ended.
    pub fn answer_lost(&mut self, now: Instant, run: RunId) -> Option<Crash<T>> {
        let Run { request, .. } = self.running.remove(&run)?;
        match self.state {
            State::Ended { id, .. } => Some(Crash {
                id,
                runs: vec![request],
            }),
            State::Running | State::Leaving => {
                self.remember(now, request);
                None
            }
        }
    }

    /// Records that the backend server's address refuses connections. If this proves a crash,
    /// returns the crash with the id `id`.
    ///
    /// A refused connection alone may be a short overload. It proves a crash only after a lost
    /// answer. All requests in flight have then failed as well, even if their connections have not
    /// reported an error yet.
    pub fn connect_refused(&mut self, now: Instant, id: CrashId) -> Option<Crash<T>> {
        if self.state != State::Running || self.lost.is_empty() {
            return None;
        }
        let mut runs = self.record_end(now, id);
        let running = std::mem::take(&mut self.running);
        runs.extend(running.into_values().map(|run| run.request));
        (!runs.is_empty()).then_some(Crash { id, runs })
    }

    /// Records that a later process has replaced the backend server. If this proves a crash,
    /// returns the crash with the id `id`.
    ///
    /// Requests in flight are not part of the crash, because they may still be answered.
    pub fn replaced(&mut self, now: Instant, id: CrashId) -> Option<Crash<T>> {
        if self.state != State::Running {
            return None;
        }
        let runs = self.record_end(now, id);
        (!runs.is_empty()).then_some(Crash { id, runs })
    }

    /// Returns `true` if the backend server is known to have ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.state, State::Ended { .. })
    }

    /// Records that the backend server has announced its shutdown.
    pub fn leaves(&mut self) {
        if self.state == State::Running {
            self.state = State::Leaving;
        }
    }

    /// Records the end of the process and returns the requests whose answers were lost recently.
    fn record_end(&mut self, now: Instant, id: CrashId) -> Vec<T> {
        self.state = State::Ended { id, at: now };
        let lost = std::mem::take(&mut self.lost).into_iter();
        let recent = lost.filter(|answer| now.since(answer.at) <= LOST_RETENTION);
        recent.map(|answer| answer.request).collect()
    }

    fn remember(&mut self, now: Instant, request: T) {
        while self.lost.len() >= MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back(LostAnswer { at: now, request });
    }
}

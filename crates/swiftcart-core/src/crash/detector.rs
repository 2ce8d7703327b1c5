//! Whether a backend server has ended, and what it was running then.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Instant;

/// How long a request whose answer broke off is kept in mind. A backend server that ends without a
/// word is missed when its successor announces itself; that takes some seconds.
const BROKEN_FOR: Duration = Duration::from_secs(10);

/// The most requests without an answer that are kept in mind.
const BROKEN_MOST: usize = 128;

/// Names one end of a backend server; drawn at random by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// Names one request that a backend server was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(u64);

/// An end of a backend server that nobody asked for, and what it was running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash<T> {
    /// Which end; requests that turn out later to have run at it come under the same name.
    pub id: CrashId,
    /// What it was running.
    pub runs: Vec<T>,
}

/// Tells the end of a backend server from connections that break while it lives.
///
/// A broken answer alone says nothing: connections are reset, and answers are lost. The backend
/// server has ended when nobody listens at its address after that, or when a later process has
/// taken its place. An answer to a request that it was given after the break shows that it lives,
/// and clears what broke before. One that said that it leaves is expected to end.
///
/// `T` is what is to be known of each request.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{CrashId, Instant, CrashDetector};
///
/// let now = Instant::from_millis(0);
/// let mut watch = CrashDetector::default();
/// let (first, _second) = (watch.start(now, "first"), watch.start(now, "second"));
/// assert_eq!(watch.answer_lost(now, first), None);
/// let crash = watch.connect_refused(now, CrashId(7)).expect("two requests under way");
/// assert_eq!(crash.runs, ["first", "second"]);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashDetector<T> {
    next: u64,
    running: BTreeMap<RunId, Run<T>>,
    broken: VecDeque<Broken<T>>,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Run<T> {
    start: Instant,
    what: T,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Broken<T> {
    at: Instant,
    what: T,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing says that it has ended.
    Living,
    /// It said that it leaves.
    Leaving,
    /// It has ended.
    Ended { id: CrashId, at: Instant },
}

impl<T> Default for CrashDetector<T> {
    fn default() -> Self {
        Self {
            next: 0,
            running: BTreeMap::new(),
            broken: VecDeque::new(),
            state: State::Living,
        }
    }
}

impl<T> CrashDetector<T> {
    /// Notes that the backend server is given a request.
    pub fn start(&mut self, now: Instant, what: T) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        self.running.insert(id, Run { start: now, what });
        id
    }

    /// Notes that it was not given the request after all.
    pub fn unsent(&mut self, run: RunId) {
        self.running.remove(&run);
    }

    /// Notes a whole answer, and returns the request.
    pub fn answered(&mut self, run: RunId) -> Option<T> {
        let Run { start, what } = self.running.remove(&run)?;
        self.broken.retain(|broken| broken.at >= start);
        if matches!(self.state, State::Ended { at, .. } if at < start) {
            self.state = State::Living;
        }
        Some(what)
    }

    /// Notes that no whole answer came, and returns the crash where the backend server is known
    /// to have ended.
    pub fn answer_lost(&mut self, now: Instant, run: RunId) -> Option<Crash<T>> {
        let Run { what, .. } = self.running.remove(&run)?;
        match self.state {
            State::Ended { id, .. } => Some(Crash {
                id,
                runs: vec![what],
            }),
            State::Living | State::Leaving => {
                self.keep(now, what);
                None
            }
        }
    }

    /// Notes that nobody listens at the backend server's address, and returns the crash that this
    /// shows, named `id`.
    ///
    /// That alone may be a moment's want of room: it shows a crash where an answer broke off
    /// before. What is under way is at an end then as well, though its connections may not have
    /// said so yet.
    pub fn connect_refused(&mut self, now: Instant, id: CrashId) -> Option<Crash<T>> {
        if self.state != State::Living || self.broken.is_empty() {
            return None;
        }
        let mut runs = self.end(now, id);
        let running = std::mem::take(&mut self.running);
        runs.extend(running.into_values().map(|run| run.what));
        (!runs.is_empty()).then_some(Crash { id, runs })
    }

    /// Notes that a later process has taken the backend server's place, and returns the crash that
    /// this shows, named `id`. What is still under way may get its answer yet.
    pub fn replaced(&mut self, now: Instant, id: CrashId) -> Option<Crash<T>> {
        if self.state != State::Living {
            return None;
        }
        let runs = self.end(now, id);
        (!runs.is_empty()).then_some(Crash { id, runs })
    }

    /// Tells whether the backend server has ended, as far as is known.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.state, State::Ended { .. })
    }

    /// Notes that the backend server said that it leaves.
    pub fn leaves(&mut self) {
        if self.state == State::Living {
            self.state = State::Leaving;
        }
    }

    /// Notes the end and returns what broke of late.
    fn end(&mut self, now: Instant, id: CrashId) -> Vec<T> {
        self.state = State::Ended { id, at: now };
        let broken = std::mem::take(&mut self.broken).into_iter();
        let late = broken.filter(|broken| now.since(broken.at) <= BROKEN_FOR);
        late.map(|broken| broken.what).collect()
    }

    fn keep(&mut self, now: Instant, what: T) {
        while self.broken.len() >= BROKEN_MOST {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken { at: now, what });
    }
}

//! State shared by the routes: the streams, the append rate limit, the clock and the faults.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::stream::Stream;
use super::{LogFaults, LogSettings, Page, StreamStats};

/// Maximum size of a record's body in bytes.
pub(super) const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Maximum number of streams.
const MAX_STREAMS: usize = 4096;
const MAX_NAME_BYTES: usize = 128;

quick_error! {
    /// Reason why the log rejects a request.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
    #[non_exhaustive]
    pub enum Refusal {
        /// The stream name is empty, too long or contains characters other than `[A-Za-z0-9._-]`.
        Name {
            display("malformed stream name; use 1 to 128 characters of [A-Za-z0-9._-]")
        }
        /// The body is not UTF-8 or ended early, or the query is malformed.
        Body {
            display("malformed request; send a complete UTF-8 body and a valid query")
        }
        /// The record is larger than 256 KiB.
        Size {
            display("record larger than 256 KiB; split the record")
        }
        /// The append exceeds the rate limit.
        Rate {
            display("append rate limit exceeded; retry later")
        }
        /// The log has reached its maximum number of streams.
        Streams {
            display("too many streams; use an existing stream")
        }
        /// The log is unavailable because of an injected fault.
        Outage {
            display("log unavailable; retry later")
        }
    }
}

impl Refusal {
    /// Returns the name used in statistics and responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Name => "name",
            Self::Body => "body",
            Self::Size => "size",
            Self::Rate => "rate",
            Self::Streams => "streams",
            Self::Outage => "outage",
        }
    }
}

/// Counters of the log, as returned by `GET /standin/stats`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Counters of each stream, by name.
    pub streams: BTreeMap<String, StreamStats>,
    /// Rejected requests by reason.
    pub refused: BTreeMap<String, u64>,
    /// Appends that were executed and whose response was dropped.
    pub lost_answers: u64,
    /// Requests that are currently waiting: long polls, stalled requests and delayed appends.
    pub held: u64,
}

/// State shared by the routes.
#[derive(Debug)]
pub(super) struct SharedState {
    settings: LogSettings,
    state: Mutex<State>,
    faults: watch::Sender<LogFaults>,
    /// Offset of the log's clock from the system clock, in milliseconds.
    skew: AtomicU64,
    held: AtomicU64,
}

/// Guard that counts a request as waiting until it is dropped.
#[derive(Debug)]
pub(super) struct HeldGuard<'a>(&'a AtomicU64);

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

#[derive(Debug)]
struct State {
    streams: BTreeMap<String, Stream>,
    bucket: TokenBucket,
    refused: BTreeMap<Refusal, u64>,
    lost_answers: u64,
}

/// Token bucket that limits the append rate; its capacity is one second's appends.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_ms: u64,
}

impl SharedState {
    pub(super) fn new(settings: LogSettings) -> Self {
        let bucket = TokenBucket {
            tokens: f64::from(settings.append_rate),
            refilled_ms: unix_ms(),
        };
        Self {
            settings,
            state: Mutex::new(State {
                streams: BTreeMap::new(),
                bucket,
                refused: BTreeMap::new(),
                lost_answers: 0,
            }),
            faults: watch::Sender::new(LogFaults::default()),
            skew: AtomicU64::new(0),
            held: AtomicU64::new(0),
        }
    }

    pub(super) fn set_faults(&self, faults: LogFaults) {
        self.faults.send_replace(faults);
    }

    pub(super) fn faults(&self) -> LogFaults {
        self.faults.borrow().clone()
    }

    pub(super) fn watch_faults(&self) -> watch::Receiver<LogFaults> {
        self.faults.subscribe()
    }

    pub(super) fn advance(&self, by: Duration) {
        let ms = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        self.skew.fetch_add(ms, Relaxed);
    }

    /// Counts a request as waiting until the returned guard is dropped.
    pub(super) fn track_held(&self) -> HeldGuard<'_> {
        self.held.fetch_add(1, Relaxed);
        HeldGuard(&self.held)
    }

    /// Consumes one of the responses to be dropped and returns `true` if there was one.
    pub(super) fn take_lost_answer(&self) -> bool {
        let lost = self.faults.send_if_modified(|f| match f.lose_answers {
            0 => false,
            n => {
                f.lose_answers = n - 1;
                true
            }
        });
        if lost {
            self.state().lost_answers += 1;
        }
        lost
    }

    /// Appends a record and returns its offset and time.
    pub(super) fn append(&self, name: &str, body: &str) -> Result<(u64, u64), Refusal> {
        let now = self.now();
        let mut state = self.state();
        if body.len() > MAX_RECORD_BYTES {
            return Err(Refusal::Size);
        }
        state.stream(name)?;
        state.bucket.take(now, self.settings.append_rate)?;
        let stream = state.stream(name)?;
        let offset = stream.append(now, body);
        self.expire(stream, now);
        Ok((offset, now))
    }

    /// Reads a page and returns it with a receiver that is notified of later appends.
    pub(super) fn read(
        &self,
        name: &str,
        from: u64,
        limit: usize,
    ) -> Result<(Page, watch::Receiver<u64>), Refusal> {
        let now = self.now();
        let mut state = self.state();
        let stream = state.stream(name)?;
        let head = stream.subscribe();
        self.expire(stream, now);
        Ok((stream.page(from, limit, now), head))
    }

    pub(super) fn count_read(&self, name: &str, page: &Page) {
        if let Some(stream) = self.state().streams.get_mut(name) {
            stream.count(page);
        }
    }

    pub(super) fn count_refusal(&self, refusal: Refusal) {
        *self.state().refused.entry(refusal).or_default() += 1;
    }

    pub(super) fn stats(&self) -> LogStats {
        let now = self.now();
        let mut state = self.state();
        for stream in state.streams.values_mut() {
            self.expire(stream, now);
        }
        let streams = state.streams.iter();
        let refused = state.refused.iter();
        LogStats {
            streams: streams.map(|(n, s)| (n.clone(), s.stats())).collect(),
            refused: refused.map(|(r, n)| (r.as_str().to_owned(), *n)).collect(),
            lost_answers: state.lost_answers,
            held: self.held.load(Relaxed),
        }
    }

    fn expire(&self, stream: &mut Stream, now: u64) {
        stream.expire(
            now.checked_sub(self.settings.retention_ms),
            self.settings.records,
        );
    }

    fn now(&self) -> u64 {
        unix_ms().saturating_add(self.skew.load(Relaxed))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn stream(&mut self, name: &str) -> Result<&mut Stream, Refusal> {
        let known = self.streams.contains_key(name);
        match known {
            false if !is_valid_name(name) => Err(Refusal::Name),
            false if self.streams.len() >= MAX_STREAMS => Err(Refusal::Streams),
            _ => Ok(self
                .streams
                .entry(name.to_owned())
                .or_insert_with(Stream::new)),
        }
    }
}

impl TokenBucket {
    fn take(&mut self, now: u64, rate: u32) -> Result<(), Refusal> {
        let rate = f64::from(rate);
        let passed = now.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.tokens = (self.tokens + passed * rate).min(rate);
        self.refilled_ms = self.refilled_ms.max(now);
        if self.tokens < 1.0 {
            return Err(Refusal::Rate);
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

fn is_valid_name(name: &str) -> bool {
    let known = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(known)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

//! The log of events: one line of key=value pairs for each, on standard output.
//!
//! Lines wait for a thread that writes them, a bounded number of them; nothing else waits
//! for standard output. Lines of calls are limited besides, see [`CallLog`].

mod call_log;

use std::fmt;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use call_log::CallLog;
use slog::{Drain, FnValue, Key, Level, Logger, Record, Serializer, Value, o};
use slog_async::AsyncGuard;
use slog_logfmt::Logfmt;

use crate::settings::LogLevel;

/// Lines that may wait to be written; more are dropped and counted by the drain. The queue
/// takes its memory at once, about 100 bytes a line.
const QUEUE: usize = 256;

/// Names every event that a node logs, the value of the key `event`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The listeners are open.
    Started,
    /// The node was asked to stop.
    Stopping,
    /// Everything in flight has finished.
    Stopped,
    /// The settings were read again.
    Reloaded,
    /// A second signal ended the node at once.
    Killed,
    /// A listener, or another part, failed.
    Failed,
    /// The node takes requests, or no longer does.
    Phase,
    /// Another configuration is in force.
    Applied,
    /// The log cannot be read.
    PlatformDown,
    /// The log can be read again.
    PlatformUp,
    /// The reader met a record that a later release wrote.
    Stalled,
    /// A member changed.
    Member,
    /// The directory named the other nodes, or could not be reached.
    Found,
    /// Records of the platform were passed over, since they could not be read.
    Skipped,
    /// A failure domain cannot be reached any more.
    DomainCut,
    /// A failure domain is reached again.
    DomainBack,
    /// A checkpoint was appended to the log, or could not be.
    Checkpoint,
    /// A source has another state at the same place in the stream.
    Diverged,
    /// The log holds no place from which to start reading.
    NoStart,
    /// A datagram or pull was refused.
    Dropped,
    /// The backend server announced itself, changed or left.
    Backend,
    /// A backend server that names itself replaced another one, left, or spoke late.
    Announced,
    /// The announcement of the backend server was not renewed.
    Expired,
    /// The backend server said something new of itself in an answer.
    Notice,
    /// The backend server has ended while it was running requests.
    Crashed,
    /// A request is not handed to backend servers for now, since it ends them.
    Quarantined,
    /// Such a request may be handed over again.
    Released,
    /// An order to roll a release out is known, or a roll-out is a stage further.
    Rollout,
    /// A failure domain is drained, or takes requests again.
    Drain,
    /// A client account is held back since it sent more than its quota, or no longer is.
    Quota,
    /// A connection could not be accepted.
    Refused,
    /// A caller's request has its answer.
    Answer,
    /// A try of a request did not end with an answer of its backend server.
    Try,
    /// The guard did not hand a request over, or got no answer to it.
    Guard,
    /// So many lines of calls were left out in the last second.
    LeftOut,
}

impl Event {
    /// Returns the name written to the log.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Stopping => "stopping",
            Self::Stopped => "stopped",
            Self::Reloaded => "reloaded",
            Self::Killed => "killed",
            Self::Failed => "failed",
            Self::Phase => "phase",
            Self::Applied => "applied",
            Self::PlatformDown => "platform-down",
            Self::PlatformUp => "platform-up",
            Self::Stalled => "stalled",
            Self::Member => "member",
            Self::Found => "found",
            Self::Skipped => "skipped",
            Self::DomainCut => "domain-cut",
            Self::DomainBack => "domain-back",
            Self::Checkpoint => "checkpoint",
            Self::Diverged => "diverged",
            Self::NoStart => "no-start",
            Self::Dropped => "dropped",
            Self::Backend => "backend",
            Self::Announced => "announced",
            Self::Expired => "expired",
            Self::Notice => "notice",
            Self::Crashed => "crashed",
            Self::Quarantined => "quarantined",
            Self::Released => "released",
            Self::Rollout => "rollout",
            Self::Drain => "drain",
            Self::Quota => "quota",
            Self::Refused => "refused",
            Self::Answer => "answer",
            Self::Try => "try",
            Self::Guard => "guard",
            Self::LeftOut => "left-out",
        }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Value for Event {
    fn serialize(
        &self,
        _record: &Record<'_>,
        key: Key,
        serializer: &mut dyn Serializer,
    ) -> slog::Result {
        serializer.emit_str(key, self.as_str())
    }
}

impl LogLevel {
    const fn level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warning => Level::Warning,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        }
    }
}

/// The longest time to write what still waits when the process ends.
const CLOSE: Duration = Duration::from_millis(300);

/// Writes what still waits and ends the log, unless standard output takes nothing.
pub fn close(guard: AsyncGuard) {
    let (done, written) = mpsc::channel();
    thread::spawn(move || {
        drop(guard);
        // Nobody waits any more when it took too long.
        done.send(()).ok();
    });
    // When nobody reads standard output, the process ends without its last lines.
    written.recv_timeout(CLOSE).ok();
}

/// Opens the log on standard output; dropping the guard writes what still waits.
pub fn open(level: LogLevel) -> (Logger, AsyncGuard) {
    let lines = Logfmt::new(io::stdout()).no_prefix().build().fuse();
    let (queue, guard) = slog_async::Async::new(lines)
        .chan_size(QUEUE)
        .build_with_guard();
    let filter = queue.filter_level(level.level()).fuse();
    let now = FnValue(|_: &Record<'_>| unix_ms());
    let severity = FnValue(|record: &Record<'_>| record.level().as_short_str());
    (
        Logger::root(filter, o!("level" => severity, "at" => now)),
        guard,
    )
}

/// Returns a log that drops every line, for embedding and tests.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Returns the wall clock in milliseconds since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

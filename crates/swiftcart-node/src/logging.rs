//! Event log: one line of key=value pairs per event, on standard output.
//!
//! A separate thread writes the lines from a bounded queue, so that no other part of the node
//! blocks on standard output. [`CallLog`] limits the rate of lines about calls.

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

/// Maximum number of queued lines; the drain drops and counts further lines.
///
/// The queue allocates its memory at the start, about 100 bytes per line.
const MAX_QUEUED_LINES: usize = 256;

/// Event that a node logs, as the value of the key `event`.
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
    /// A second signal or the end of the grace period stopped the node at once.
    Killed,
    /// A listener or another part failed.
    Failed,
    /// The node accepts requests, or no longer does.
    Phase,
    /// Another configuration became active.
    Applied,
    /// A newer configuration arrived from the platform or from another node.
    Received,
    /// A witness acknowledged a reported version, or none did in time.
    Acknowledged,
    /// This node acknowledged a version that another node reported.
    Witnessed,
    /// A read of the platform failed.
    Read,
    /// This node begins to confirm the version for all nodes.
    Takeover,
    /// The log of the platform cannot be read.
    PlatformDown,
    /// The log of the platform can be read again.
    PlatformUp,
    /// The reader stopped at a record that a later release wrote.
    Stalled,
    /// A member changed.
    Member,
    /// The directory returned the other nodes, or could not be reached.
    Found,
    /// Unreadable records of the platform were skipped.
    Skipped,
    /// A failure domain became unreachable.
    DomainCut,
    /// A failure domain became reachable again.
    DomainBack,
    /// A checkpoint was appended to the log, or appending it failed.
    Checkpoint,
    /// A source has another state at the same offset of the stream.
    Diverged,
    /// The log has no offset from which to start reading.
    NoStart,
    /// A datagram or state pull was refused.
    Dropped,
    /// The backend server was announced, changed or left.
    Backend,
    /// A backend server with an id of its own replaced another one, left, or sent an announcement
    /// that was refused or out of order.
    Announced,
    /// The announcement of the backend server was not renewed.
    Expired,
    /// The backend server reported a new state in a response.
    Notice,
    /// The backend server ended while it was running requests.
    Crashed,
    /// A request was quarantined, since it crashes backend servers.
    Quarantined,
    /// A request was released from quarantine.
    Released,
    /// A roll-out was ordered or reached its next stage.
    Rollout,
    /// A failure domain is drained, or gets requests again.
    Drain,
    /// A client account is limited since it exceeded its quota, or no longer is.
    Quota,
    /// A client account has begun or ceased to ask for more than its share of a service.
    Share,
    /// A share of a service's requests begins or ceases to leave the failure domain.
    Spill,
    /// A request was refused by the ingress, since its service has no room.
    NoRoom,
    /// A connection could not be accepted.
    Refused,
    /// A caller's request got its response.
    Answer,
    /// An attempt of a request ended without a response of its backend server.
    Try,
    /// The guard refused a request, or got no response to it.
    Guard,
    /// An exchange with the backend server failed, was a repeat, or had a response that is not passed
    /// on.
    Exchange,
    /// A caller's connection ended while requests on it had no response.
    Closed,
    /// A response ended before it was passed on as a whole.
    Cut,
    /// The body of a caller's request was read ahead.
    Body,
    /// The departures that an earlier process of the node acknowledged are known.
    Recalled,
    /// Lines about calls were suppressed in an earlier second.
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
            Self::Received => "received",
            Self::Acknowledged => "acknowledged",
            Self::Witnessed => "witnessed",
            Self::Read => "read",
            Self::Takeover => "takeover",
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
            Self::Share => "share",
            Self::Spill => "spill",
            Self::NoRoom => "no-room",
            Self::Refused => "refused",
            Self::Answer => "answer",
            Self::Try => "try",
            Self::Guard => "guard",
            Self::Exchange => "exchange",
            Self::Closed => "closed",
            Self::Cut => "cut",
            Self::Body => "body",
            Self::Recalled => "recalled",
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

/// Maximum time to write the queued lines when the process ends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes the queued lines and closes the log.
///
/// Gives up after a time limit, in case standard output is blocked.
pub fn close(guard: AsyncGuard) {
    let (done, written) = mpsc::channel();
    thread::spawn(move || {
        drop(guard);
        // The receiver is gone if the time limit has passed.
        done.send(()).ok();
    });
    // If standard output is blocked, the last lines are lost.
    written.recv_timeout(CLOSE_TIMEOUT).ok();
}

/// Opens the log on standard output. Dropping the guard writes the queued lines.
pub fn open(level: LogLevel) -> (Logger, AsyncGuard) {
    let lines = Logfmt::new(io::stdout()).no_prefix().build().fuse();
    let (queue, guard) = slog_async::Async::new(lines)
        .chan_size(MAX_QUEUED_LINES)
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

/// Returns the wall-clock time in Unix milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns a duration in whole milliseconds, as it is logged.
pub(crate) fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

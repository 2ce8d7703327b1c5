//! Limits of the call path.

use std::time::Duration;

use serde::Deserialize;

/// Maximum time without an announcement of a backend server, in halves of the announcement
/// interval.
///
/// Three and a half intervals tolerate three lost or late announcements, as is usual for
/// heartbeats.
const SILENCE_HALF_INTERVALS: u32 = 7;

/// Limits on buffers, queues, connections and times of the call path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum bytes of one request head; default 16384.
    pub header_bytes: u32,
    /// Maximum header fields of one request; default 100.
    pub headers: u32,
    /// Maximum concurrent connections of callers, and separately of peers; default 4096.
    pub connections: u32,
    /// Maximum requests that wait for a slot of the backend server; default 64.
    pub queue: u32,
    /// Maximum wait of a request without a deadline for a slot, in milliseconds; default 1000.
    pub queue_ms: u32,
    /// Timeout for the arrival of a request head, in milliseconds; default 10000.
    pub header_timeout_ms: u32,
    /// Maximum time without data from a caller within a request body, in milliseconds; default
    /// 30000.
    pub body_timeout_ms: u32,
    /// Time after which an idle connection to the backend server is closed, in milliseconds;
    /// default 4000. Set it below the idle timeout of the backend server.
    pub idle_timeout_ms: u32,
    /// Timeout for opening a connection, in milliseconds; default 500.
    pub connect_timeout_ms: u32,
    /// Time after which an idle connection to a peer is closed, in milliseconds; default 30000. The
    /// peer keeps its end open for twice this time, so that it never closes the connection while a
    /// request is sent.
    pub peer_idle_ms: u32,
    /// Maximum duration of a request without a deadline, in milliseconds; default 86400000.
    pub longest_ms: u32,
    /// Maximum idle connections to one peer; default 32.
    pub idle_connections: u32,
    /// Maximum bytes of a request body that are buffered for a retry at another peer; default
    /// 65536. A request of which more bytes were sent is not retried.
    pub replay_bytes: u32,
    /// Maximum bytes of the body of a request with an `Idempotency-Key`; default 1048576.
    pub keyed_bytes: u32,
    /// Maximum bytes of stored responses to requests with an `Idempotency-Key`; default 67108864.
    pub answer_store_bytes: u32,
    /// Bytes of a response that are read before its head is forwarded, so that a request whose
    /// response breaks off can still be retried; default 0.
    pub held_bytes: u32,
    /// Maximum upload bodies that are received from peers concurrently; default 1024. Use a low
    /// value on slow links, since short requests wait behind uploads.
    pub bodies: u32,
    /// Enables an adaptive concurrency limit, which follows the latency of the backend server below
    /// its announced slots; default true. Set it to false to rely on the announced slots.
    pub adaptive: bool,
    /// Keep-alive time of an idle connection of a caller, which is sent to the caller, in whole
    /// seconds; default 0: `header_timeout_ms` applies and no time is sent. With a keep-alive time,
    /// a connection is closed after a response that the node generates itself.
    pub keep_alive_s: u32,
    /// Allows responses without a length that end when the connection is closed; default false.
    pub unframed: bool,
    /// Maximum time between two announcements of a backend server that has an id of its own, in
    /// milliseconds; default 5000. Without an announcement for this time, the backend server is
    /// removed from routing.
    pub announce_ms: u32,
    /// Announcement interval of a backend server that has an id of its own, in milliseconds;
    /// default 0: not known. If three and a half intervals are longer than `announce_ms`, they
    /// replace that limit.
    pub heartbeat_ms: u32,
}

impl Limits {
    /// Returns the timeout for the arrival of a request head.
    #[must_use]
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms as u64)
    }

    /// Returns the keep-alive time that is sent to callers, if there is one.
    #[must_use]
    pub fn keep_alive(&self) -> Option<Duration> {
        (self.keep_alive_s > 0).then(|| Duration::from_secs(self.keep_alive_s.into()))
    }

    /// Returns the maximum time without data from a caller within a request body.
    #[must_use]
    pub const fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms as u64)
    }

    /// Returns the time after which an idle connection to the backend server is closed.
    #[must_use]
    pub const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms as u64)
    }

    /// Returns the time after which an idle connection to a peer is closed.
    #[must_use]
    pub const fn peer_idle(&self) -> Duration {
        Duration::from_millis(self.peer_idle_ms as u64)
    }

    /// Returns the maximum duration of a request without a deadline.
    #[must_use]
    pub const fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms as u64)
    }

    /// Returns the maximum time between two announcements of a backend server that has an id of its
    /// own, in milliseconds.
    #[must_use]
    pub fn silence_ms(&self) -> u32 {
        let heartbeat_limit = self.heartbeat_ms.saturating_mul(SILENCE_HALF_INTERVALS) / 2;
        self.announce_ms.max(heartbeat_limit)
    }

    /// Returns the timeout for opening a connection.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms as u64)
    }

    /// Returns the maximum wait of a request without a deadline for a slot.
    #[must_use]
    pub const fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_ms as u64)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            headers: 100,
            connections: 4096,
            queue: 64,
            queue_ms: 1000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            idle_timeout_ms: 4000,
            peer_idle_ms: 30_000,
            longest_ms: 86_400_000,
            connect_timeout_ms: 500,
            idle_connections: 32,
            replay_bytes: 65_536,
            keyed_bytes: 1 << 20,
            answer_store_bytes: 64 << 20,
            held_bytes: 0,
            bodies: 1024,
            adaptive: true,
            keep_alive_s: 0,
            unframed: false,
            announce_ms: 5000,
            heartbeat_ms: 0,
        }
    }
}

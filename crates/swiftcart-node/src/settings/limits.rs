//! Bounds of the call path.

use std::time::Duration;

use serde::Deserialize;

/// The halves of the time between two announcements that a backend server may be silent: three
/// lost or late ones and a half, as is usual for heartbeats.
const HEARTBEATS: u32 = 7;

/// Bounds every buffer, queue and connection count of the call path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of one request head; default 16384.
    pub header_bytes: u32,
    /// Header fields of one request; default 100.
    pub headers: u32,
    /// Connections of callers, and again of peers, at once; default 4096.
    pub connections: u32,
    /// Requests that wait for a slot of the backend server; default 64.
    pub queue: u32,
    /// Longest wait for a slot, in milliseconds, for a request without a deadline; default 1000.
    pub queue_ms: u32,
    /// Longest time for a request head to arrive, in milliseconds; default 10000.
    pub header_timeout_ms: u32,
    /// Longest silence of a caller within its request's body, in milliseconds; default 30000.
    pub body_timeout_ms: u32,
    /// Longest time that an unused connection to the backend server is kept, in
    /// milliseconds; default 4000. Keep it below the backend server's own.
    pub idle_timeout_ms: u32,
    /// Longest time to open a connection, in milliseconds; default 500.
    pub connect_timeout_ms: u32,
    /// The same for a connection to a peer, in milliseconds; default 30000. Peers keep
    /// their end open for twice that time, so that it is never closed under a request.
    pub peer_idle_ms: u32,
    /// Longest time for a request without a deadline, in milliseconds; default 86400000.
    pub longest_ms: u32,
    /// Unused connections kept to one peer; default 32.
    pub idle_connections: u32,
    /// Bytes of a request body kept so that the request can be sent to another peer;
    /// default 65536. A request that has sent more is not retried.
    pub replay_bytes: u32,
    /// Bytes of the body of a request with an `Idempotency-Key`; default 1048576.
    pub keyed_bytes: u32,
    /// Bytes of answers kept for requests with an `Idempotency-Key`; default 67108864.
    pub answer_store_bytes: u32,
    /// Bytes of an answer that are read before its head is passed on, so that an answer that
    /// breaks off can still become another try; default 0.
    pub held_bytes: u32,
    /// Bodies of uploads that are taken from peers at once; default 1024. Few where links are
    /// slow: short requests wait behind them.
    pub bodies: u32,
    /// Whether the requests that run at once follow the backend server's latency below its
    /// announced slots; default true. False where announcements are to be trusted.
    pub adaptive: bool,
    /// Time that a caller's unused connection is kept, which its callers are told, in whole
    /// seconds; default 0: until `header_timeout_ms`, and they are not told. With it, a
    /// connection ends after an answer that the node makes itself.
    pub keep_alive_s: u32,
    /// Whether an answer may end with its connection, without a length; default false.
    pub unframed: bool,
    /// Longest time between two announcements of a backend server that names itself, in
    /// milliseconds; default 5000. It is taken out of routing when none came for so long.
    pub announce_ms: u32,
    /// Time between two announcements of such a backend server, in milliseconds; default 0:
    /// not known. Where three and a half of them take longer than `announce_ms`, it may be
    /// silent for so long.
    pub heartbeat_ms: u32,
}

impl Limits {
    /// Returns the longest time for a request head to arrive.
    #[must_use]
    pub const fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms as u64)
    }

    /// Returns how long a caller's unused connection is kept, when callers are told.
    #[must_use]
    pub fn keep_alive(&self) -> Option<Duration> {
        (self.keep_alive_s > 0).then(|| Duration::from_secs(self.keep_alive_s.into()))
    }

    /// Returns the longest silence of a caller within its request's body.
    #[must_use]
    pub const fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms as u64)
    }

    /// Returns the longest time that an unused connection is kept.
    #[must_use]
    pub const fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms as u64)
    }

    /// Returns the longest time that an unused connection to a peer is kept.
    #[must_use]
    pub const fn peer_idle(&self) -> Duration {
        Duration::from_millis(self.peer_idle_ms as u64)
    }

    /// Returns the longest time for a request without a deadline.
    #[must_use]
    pub const fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms as u64)
    }

    /// Returns how long a backend server that names itself may be silent, in milliseconds.
    #[must_use]
    pub fn silence_ms(&self) -> u32 {
        let beats = self.heartbeat_ms.saturating_mul(HEARTBEATS) / 2;
        self.announce_ms.max(beats)
    }

    /// Returns the longest time to open a connection.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms as u64)
    }

    /// Returns the longest wait for a slot of a request without a deadline.
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

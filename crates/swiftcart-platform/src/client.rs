//! Client of the platform's log. Each method makes one HTTP call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use swiftcart_core::{Entry, Offset};

use crate::wire::{AppendResponse, ReadResponse};
use crate::{CallBounds, CallError, PlatformError, Transport};

/// Maximum size of an appended body in bytes, as set by the platform.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// Maximum size of a page that a read accepts, in bytes of JSON.
///
/// A single record always fits, even if JSON escaping turns each of its bytes into six.
pub const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Timeout of a call unless [`Platform::with_timeout`] sets another one.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_ACK_BYTES: usize = 4 * 1024;
const MAX_STREAM_NAME_BYTES: usize = 200;

/// Position and time of an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Appended {
    /// Offset of the record in its stream.
    pub offset: Offset,
    /// Time at which the platform stored the record, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Page of records returned by a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Oldest retained offset.
    pub first: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
    /// Time on the platform's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Records, ordered by offset.
    pub entries: Vec<Entry>,
}

/// Client of the platform's log. Clones share their connections.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), swiftcart_platform::PlatformError> {
/// use std::time::Duration;
/// use swiftcart_core::Offset;
/// use swiftcart_platform::Platform;
///
/// let platform = Platform::new(([127, 0, 0, 1], 7000).into());
/// let appended = platform.append("config", "{}").await?;
/// let page = platform.read("config", Offset(0), 100, Duration::ZERO).await?;
/// assert!(page.next > appended.offset);
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct Platform {
    transport: Transport,
}

impl Platform {
    /// Creates a client for the platform at `addr`. The first call opens a connection.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            transport: Transport::new(addr, DEFAULT_TIMEOUT),
        }
    }

    /// Sets the timeout of a call. The wait time of a long poll is added to the timeout.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.transport = self.transport.with_timeout(timeout);
        self
    }

    /// Returns the platform's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.transport.addr()
    }

    /// Appends `body` to `stream` and returns the position of the record.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. Its [`append_outcome`](PlatformError::append_outcome) says
    /// whether the record may be in the stream nevertheless.
    pub async fn append(&self, stream: &str, body: &str) -> Result<Appended, PlatformError> {
        if body.len() > MAX_RECORD_BYTES {
            return Err(PlatformError::TooLarge);
        }
        let uri = self.uri(stream, "")?;
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let request = request(Method::POST, uri, body)?;
        let bounds = CallBounds {
            status: StatusCode::CREATED,
            max_bytes: MAX_ACK_BYTES,
            poll_wait: Duration::ZERO,
        };
        match self.transport.call(request, bounds).await {
            Ok(bytes) => parse::<AppendResponse>(&bytes).map(Appended::from),
            Err(CallError::Failed(e)) => Err(e),
            // The record was stored, but its offset is in the response that was too large.
            Err(CallError::Oversized) => Err(PlatformError::Malformed),
        }
    }

    /// Reads at most `limit` records of `stream` at or above `from`.
    ///
    /// If there are no such records yet, waits up to `wait` for the first one. If `from` is below
    /// [`Page::first`], the oldest retained offset, the page starts at [`Page::first`].
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. After [`PlatformError::TooLarge`], request fewer records.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: u32,
        wait: Duration,
    ) -> Result<Page, PlatformError> {
        let query = format!("?from={from}&limit={limit}&wait={}", wait.as_millis());
        let uri = self.uri(stream, &query)?;
        let request = request(Method::GET, uri, Full::default())?;
        let bounds = CallBounds {
            status: StatusCode::OK,
            max_bytes: MAX_PAGE_BYTES,
            poll_wait: wait,
        };
        match self.transport.call(request, bounds).await {
            Ok(bytes) => parse::<ReadResponse>(&bytes)?.into_page(from, limit),
            Err(CallError::Failed(e)) => Err(e),
            Err(CallError::Oversized) => Err(PlatformError::TooLarge),
        }
    }

    fn uri(&self, stream: &str, query: &str) -> Result<Uri, PlatformError> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        let valid_length = (1..=MAX_STREAM_NAME_BYTES).contains(&stream.len());
        match valid_length && stream.bytes().all(is_allowed) {
            true => format!("http://{}/v1/streams/{stream}{query}", self.addr())
                .parse()
                .map_err(|_| PlatformError::BadStream),
            false => Err(PlatformError::BadStream),
        }
    }
}

fn request(
    method: Method,
    uri: Uri,
    body: Full<Bytes>,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|_| PlatformError::BadStream)
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|_| PlatformError::Malformed)
}

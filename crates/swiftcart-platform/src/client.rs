//! The client: one call to the platform for each call of a method.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use swiftcart_core::{Entry, Offset};

use crate::wire::{AppendAnswer, ReadAnswer};
use crate::{CallBounds, CallError, PlatformError, Transport};

/// The largest body that an append may have, in bytes; the platform's own bound.
pub const MAX_RECORD: usize = 256 * 1024;

/// The largest page that a read accepts, in bytes of JSON.
///
/// A single record fits always, even when each of its bytes is escaped to six.
pub const MAX_PAGE: usize = 8 * 1024 * 1024;

/// The time that one call may take unless [`Platform::with_timeout`] says otherwise.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_ACK: usize = 4 * 1024;
const MAX_STREAM: usize = 200;

/// Says where an appended record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Appended {
    /// The record's offset in its stream.
    pub offset: Offset,
    /// When the platform took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Holds what one read returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The offset that the next append gets.
    pub next: Offset,
    /// The platform's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// The records, in order of their offsets.
    pub entries: Vec<Entry>,
}

/// Talks to the platform's log; a clone shares its connections.
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
    /// Creates a client of the platform at `addr`; it connects when first used.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            transport: Transport::new(addr, DEFAULT_TIMEOUT),
        }
    }

    /// Sets the time that one call may take; a long poll's wait comes on top.
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

    /// Appends `body` to `stream` and returns where it stands.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; its [`append_outcome`](PlatformError::fate) tells whether the
    /// record may stand in the stream all the same.
    pub async fn append(&self, stream: &str, body: &str) -> Result<Appended, PlatformError> {
        if body.len() > MAX_RECORD {
            return Err(PlatformError::TooLarge);
        }
        let uri = self.uri(stream, "")?;
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let request = request(Method::POST, uri, body)?;
        let bounds = CallBounds {
            expected: StatusCode::CREATED,
            bytes: MAX_ACK,
            held: Duration::ZERO,
        };
        match self.transport.call(request, bounds).await {
            Ok(bytes) => parse::<AppendAnswer>(&bytes).map(Appended::from),
            Err(CallError::Failed(e)) => Err(e),
            // The record was taken, only its place is lost with the oversized answer.
            Err(CallError::Oversized) => Err(PlatformError::Malformed),
        }
    }

    /// Reads at most `limit` records of `stream` at or above `from`.
    ///
    /// Holds the call for up to `wait` until there is one. Below the oldest kept
    /// offset it answers from there; [`Page::first`] tells.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; after [`PlatformError::TooLarge`] ask for fewer records.
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
            expected: StatusCode::OK,
            bytes: MAX_PAGE,
            held: wait,
        };
        match self.transport.call(request, bounds).await {
            Ok(bytes) => parse::<ReadAnswer>(&bytes)?.into_page(from, limit),
            Err(CallError::Failed(e)) => Err(e),
            Err(CallError::Oversized) => Err(PlatformError::TooLarge),
        }
    }

    fn uri(&self, stream: &str, query: &str) -> Result<Uri, PlatformError> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        let sized = (1..=MAX_STREAM).contains(&stream.len());
        match sized && stream.bytes().all(plain) {
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

//! Streamed message bodies with verifiable content: a line with the request id, then fixed bytes.

use std::mem;
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use tokio::task::spawn_blocking;

use crate::serve::AbortError;

/// Size of the block that bodies repeat, in bytes; also the largest frame.
const BLOCK_BYTES: usize = 64 * 1024;

/// Longest body that is hashed on the async runtime, in bytes; longer ones are hashed on a
/// blocking thread.
const MAX_INLINE_BYTES: u64 = 1024 * 1024;
const BLOCK_SEED: u64 = 0x5ca1_ab1e;

/// Body of a given length: a line with the request id, then fixed pseudorandom bytes.
///
/// Memory use does not depend on the length, since all bodies repeat one shared block.
#[derive(Debug, Clone)]
pub(crate) struct Content {
    head: Bytes,
    len: u64,
}

impl Content {
    /// Creates the body of request `id`.
    ///
    /// The body always contains the whole id line, even when `len` is shorter than that line.
    pub(crate) fn new(id: &str, len: u64) -> Self {
        let head = Bytes::from(head(id));
        let len = len.max(head.len() as u64);
        Self { head, len }
    }

    pub(crate) const fn len(&self) -> u64 {
        self.len
    }

    /// Returns the BLAKE3 digest of the whole body; long bodies are hashed on a blocking thread.
    pub(crate) async fn digest(&self) -> String {
        if self.len <= MAX_INLINE_BYTES {
            return self.hash();
        }
        let content = self.clone();
        let hash = spawn_blocking(move || content.hash()).await;
        hash.unwrap_or_default()
    }

    fn hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        let mut position = 0;
        while let Some(chunk) = self.chunk(position) {
            hasher.update(&chunk);
            position += chunk.len() as u64;
        }
        hasher.finalize().to_hex().to_string()
    }

    fn chunk(&self, position: u64) -> Option<Bytes> {
        let left = usize::try_from(self.len - position).unwrap_or(usize::MAX);
        match left {
            0 => None,
            _ if position == 0 => Some(self.head.clone()),
            _ => Some(block().slice(..left.min(BLOCK_BYTES))),
        }
    }
}

impl From<Vec<u8>> for Content {
    /// Creates a body that consists of `bytes` only.
    fn from(bytes: Vec<u8>) -> Self {
        Self {
            len: bytes.len() as u64,
            head: Bytes::from(bytes),
        }
    }
}

/// HTTP body that streams a [`Content`] and optionally fails after `break_after` bytes.
///
/// `done` is called when the last frame is handed to the server. When the stream ends early,
/// `done` is dropped without being called.
pub(crate) struct ContentBody<F: FnOnce() + Unpin> {
    content: Content,
    position: u64,
    break_after: Option<u64>,
    flushed: bool,
    done: Option<F>,
}

impl<F: FnOnce() + Unpin> ContentBody<F> {
    pub(crate) const fn new(content: Content, break_after: Option<u64>, done: F) -> Self {
        Self {
            content,
            position: 0,
            break_after,
            flushed: false,
            done: Some(done),
        }
    }

    /// Returns an error on the second call only, so that the server flushes its buffered bytes
    /// between the two calls.
    fn poll_break(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortError>>> {
        if mem::replace(&mut self.flushed, true) {
            return Poll::Ready(Some(Err(AbortError::InjectedFault)));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<F: FnOnce() + Unpin> Body for ContentBody<F> {
    type Data = Bytes;
    type Error = AbortError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortError>>> {
        let this = self.get_mut();
        let Some(mut chunk) = this.content.chunk(this.position) else {
            return Poll::Ready(None);
        };
        if let Some(break_after) = this.break_after {
            let left =
                usize::try_from(break_after.saturating_sub(this.position)).unwrap_or(usize::MAX);
            if left == 0 {
                return this.poll_break(cx);
            }
            chunk.truncate(left);
        }
        this.position += chunk.len() as u64;
        if this.is_end_stream()
            && let Some(done) = this.done.take()
        {
            done();
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.position == self.content.len
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.content.len - self.position)
    }
}

/// Incremental check of a received body: its length, its digest and the request id in it.
#[derive(Debug)]
pub(crate) struct BodyChecker {
    hasher: blake3::Hasher,
    head: Vec<u8>,
    prefix: Vec<u8>,
    len: u64,
}

impl BodyChecker {
    /// Creates a checker for the body of request `id`.
    pub(crate) fn new(id: &str) -> Self {
        Self {
            hasher: blake3::Hasher::new(),
            head: head(id),
            prefix: Vec::new(),
            len: 0,
        }
    }

    pub(crate) fn update(&mut self, chunk: &[u8]) {
        let missing = self.head.len() - self.prefix.len();
        self.prefix.extend(chunk.iter().take(missing));
        self.hasher.update(chunk);
        self.len += chunk.len() as u64;
    }

    pub(crate) const fn len(&self) -> u64 {
        self.len
    }

    /// Returns `true` if the body starts with the id line of the expected request.
    pub(crate) fn matches_id(&self) -> bool {
        self.prefix == self.head
    }

    pub(crate) fn digest(&self) -> String {
        self.hasher.finalize().to_hex().to_string()
    }
}

fn head(id: &str) -> Vec<u8> {
    format!("id={id}\n").into_bytes()
}

fn block() -> Bytes {
    static ONCE: OnceLock<Bytes> = OnceLock::new();
    ONCE.get_or_init(|| {
        let mut bytes = vec![0; BLOCK_BYTES];
        SmallRng::seed_from_u64(BLOCK_SEED).fill_bytes(&mut bytes);
        Bytes::from(bytes)
    })
    .clone()
}

//! Bodies that name their request and can be checked for wholeness while they stream.

use std::mem;
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};
use tokio::task::spawn_blocking;

use crate::serve::Broken;

/// Size of the block that bodies repeat; also the largest frame.
const BLOCK: usize = 64 * 1024;

/// Longest body that is hashed between two awaits.
const INLINE: u64 = 1024 * 1024;
const BLOCK_SEED: u64 = 0x5ca1_ab1e;

/// A body of a given length: a line that names the request, then fixed random bytes.
///
/// Memory stays flat at any length, since every body repeats the same block.
#[derive(Debug, Clone)]
pub(crate) struct Content {
    head: Bytes,
    len: u64,
}

impl Content {
    /// Creates the body for request `id`; never shorter than the line that names it.
    pub(crate) fn new(id: &str, len: u64) -> Self {
        let head = Bytes::from(head(id));
        let len = len.max(head.len() as u64);
        Self { head, len }
    }

    pub(crate) const fn len(&self) -> u64 {
        self.len
    }

    /// Returns the digest that the whole body has; a long one is hashed off the runtime.
    pub(crate) async fn digest(&self) -> String {
        if self.len <= INLINE {
            return self.hash();
        }
        let content = self.clone();
        let hash = spawn_blocking(move || content.hash()).await;
        hash.unwrap_or_default()
    }

    fn hash(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        let mut at = 0;
        while let Some(chunk) = self.chunk(at) {
            hasher.update(&chunk);
            at += chunk.len() as u64;
        }
        hasher.finalize().to_hex().to_string()
    }

    fn chunk(&self, at: u64) -> Option<Bytes> {
        let left = usize::try_from(self.len - at).unwrap_or(usize::MAX);
        match left {
            0 => None,
            _ if at == 0 => Some(self.head.clone()),
            _ => Some(block().slice(..left.min(BLOCK))),
        }
    }
}

impl From<Vec<u8>> for Content {
    /// Creates a body of just these bytes.
    fn from(bytes: Vec<u8>) -> Self {
        Self {
            len: bytes.len() as u64,
            head: Bytes::from(bytes),
        }
    }
}

/// Streams a [`Content`], or breaks off after some bytes.
///
/// `done` runs when the last byte has been handed over; otherwise it is only dropped.
pub(crate) struct Stream<F: FnOnce() + Unpin> {
    content: Content,
    at: u64,
    cut: Option<u64>,
    flushed: bool,
    done: Option<F>,
}

impl<F: FnOnce() + Unpin> Stream<F> {
    pub(crate) const fn new(content: Content, cut: Option<u64>, done: F) -> Self {
        Self {
            content,
            at: 0,
            cut,
            flushed: false,
            done: Some(done),
        }
    }

    /// Fails on the second call: the server sends what it has in between.
    fn poll_break(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if mem::replace(&mut self.flushed, true) {
            return Poll::Ready(Some(Err(Broken::ByFault)));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<F: FnOnce() + Unpin> Body for Stream<F> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let this = self.get_mut();
        let Some(mut chunk) = this.content.chunk(this.at) else {
            return Poll::Ready(None);
        };
        if let Some(cut) = this.cut {
            let left = usize::try_from(cut.saturating_sub(this.at)).unwrap_or(usize::MAX);
            if left == 0 {
                return this.poll_break(cx);
            }
            chunk.truncate(left);
        }
        this.at += chunk.len() as u64;
        if this.is_end_stream()
            && let Some(done) = this.done.take()
        {
            done();
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.at == self.content.len
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.content.len - self.at)
    }
}

/// Checks a body as it streams in: its length, its digest and whose it is.
#[derive(Debug)]
pub(crate) struct Checker {
    hasher: blake3::Hasher,
    head: Vec<u8>,
    start: Vec<u8>,
    len: u64,
}

impl Checker {
    /// Expects the body of request `id`.
    pub(crate) fn new(id: &str) -> Self {
        Self {
            hasher: blake3::Hasher::new(),
            head: head(id),
            start: Vec::new(),
            len: 0,
        }
    }

    pub(crate) fn update(&mut self, chunk: &[u8]) {
        let missing = self.head.len() - self.start.len();
        self.start.extend(chunk.iter().take(missing));
        self.hasher.update(chunk);
        self.len += chunk.len() as u64;
    }

    pub(crate) const fn len(&self) -> u64 {
        self.len
    }

    pub(crate) fn is_own(&self) -> bool {
        self.start == self.head
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
        let mut bytes = vec![0; BLOCK];
        SmallRng::seed_from_u64(BLOCK_SEED).fill_bytes(&mut bytes);
        Bytes::from(bytes)
    })
    .clone()
}

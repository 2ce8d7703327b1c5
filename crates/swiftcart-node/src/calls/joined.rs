//! Reading of bodies whose data may arrive in short pieces.

use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body::Frame;
use swiftcart_core::{JOINED_PIECE_BYTES, MIN_PIECE_BYTES};

/// Result of polling a body for its next frame.
pub type PolledFrame<E> = Poll<Option<Result<Frame<Bytes>, E>>>;

/// Reader that joins the short pieces of a body.
///
/// Each piece that is passed on costs about as much as hundreds of bytes, so pieces of a few bytes are
/// not passed on one by one.
#[derive(Debug)]
pub struct JoinedReader<E> {
    /// Short pieces that have not been passed on.
    joined: BytesMut,
    /// Frame or error that followed the pieces in `joined`.
    next: Option<Result<Frame<Bytes>, E>>,
}

impl<E> Default for JoinedReader<E> {
    fn default() -> Self {
        Self {
            joined: BytesMut::new(),
            next: None,
        }
    }
}

impl<E> JoinedReader<E> {
    /// Returns `true` if all that the reader has read has been passed on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.next.is_none()
    }

    /// Returns the number of bytes that have been read and not passed on.
    #[must_use]
    pub fn len(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.as_ref().ok());
        let next = next.and_then(Frame::data_ref);
        self.joined.len() + next.map_or(0, Bytes::len)
    }

    /// Returns the next frame of the body that `poll` reads.
    ///
    /// While the body is pending, its short pieces wait for more; see [`joined`](Self::joined).
    pub fn poll(
        &mut self,
        cx: &mut Context<'_>,
        mut poll: impl FnMut(&mut Context<'_>) -> PolledFrame<E>,
    ) -> PolledFrame<E> {
        while self.next.is_none() && self.joined.len() < JOINED_PIECE_BYTES {
            let Some(frame) = ready!(poll(cx)) else {
                return Poll::Ready(self.joined().map(Ok));
            };
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) if data.len() < MIN_PIECE_BYTES => {
                    self.joined.extend_from_slice(&data);
                }
                Ok(Ok(data)) => self.next = Some(Ok(Frame::data(data))),
                Ok(Err(frame)) => self.next = Some(Ok(frame)),
                Err(err) => self.next = Some(Err(err)),
            }
        }
        let joined = self.joined().map(Ok);
        Poll::Ready(joined.or_else(|| self.next.take()))
    }

    /// Removes and returns the short pieces that wait for more, if there are any.
    pub fn joined(&mut self) -> Option<Frame<Bytes>> {
        let joined = std::mem::take(&mut self.joined);
        (!joined.is_empty()).then(|| Frame::data(joined.freeze()))
    }
}

//! Egress pacing: delays large responses while too much data is queued on the instance's link.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use swiftcart_core::HEAVY_RESPONSE_BYTES;
use tokio::time::{Sleep, sleep};

use crate::egress::Egress;

/// Minimum delay, so that a queue of a few bytes does not cause a wake-up of its own.
const MIN_DELAY: Duration = Duration::from_millis(2);

/// Bytes on the link that are assumed for the head of a response.
const HEAD_BYTES: usize = 512;

/// Pacing of one response on the egress link.
#[derive(Debug)]
pub struct Pacing {
    egress: Arc<Egress>,
    is_large: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pacing {
    /// Creates the pacing of a response of `bytes` bytes, and counts its head as sent.
    #[must_use]
    pub fn new(egress: &Arc<Egress>, bytes: u64) -> Self {
        egress.sent(HEAD_BYTES);
        Self {
            egress: Arc::clone(egress),
            is_large: bytes >= HEAVY_RESPONSE_BYTES,
            timer: None,
        }
    }

    /// Waits until the next part may be sent; a small response is never delayed.
    pub fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.is_large {
            if let Some(timer) = &mut self.timer {
                ready!(timer.as_mut().poll(cx));
                self.timer = None;
            }
            let Some(time) = self.egress.hold_back() else {
                break;
            };
            self.timer = Some(Box::pin(sleep(time.max(MIN_DELAY))));
        }
        Poll::Ready(())
    }

    /// Records that a part of `bytes` bytes is sent.
    pub fn sent(&self, bytes: usize) {
        self.egress.sent(bytes);
    }
}

//! Holds long answers back while the instance's link has a queue.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use swiftcart_core::HEAVY_RESPONSE_BYTES;
use tokio::time::{Sleep, sleep};

use crate::egress::Egress;

/// The least time of one hold, so that a queue of a few bytes costs no wake-up.
const LEAST_HOLD: Duration = Duration::from_millis(2);

/// The bytes that the head of an answer adds on the link.
const HEAD: usize = 512;

/// Tells one answer when its next part may be handed to the link.
#[derive(Debug)]
pub struct Pacing {
    egress: Arc<Egress>,
    long: bool,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pacing {
    /// Creates the pacing of an answer of `bytes` bytes whose head leaves now.
    #[must_use]
    pub fn new(egress: &Arc<Egress>, bytes: u64) -> Self {
        egress.sent(HEAD);
        Self {
            egress: Arc::clone(egress),
            long: bytes >= HEAVY_RESPONSE_BYTES,
            timer: None,
        }
    }

    /// Waits until the next part may leave; at once for a short answer.
    pub fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.long {
            if let Some(timer) = &mut self.timer {
                ready!(timer.as_mut().poll(cx));
                self.timer = None;
            }
            let Some(time) = self.egress.hold_back() else {
                break;
            };
            self.timer = Some(Box::pin(sleep(time.max(LEAST_HOLD))));
        }
        Poll::Ready(())
    }

    /// Notes that a part of `bytes` bytes leaves.
    pub fn sent(&self, bytes: usize) {
        self.egress.sent(bytes);
    }
}

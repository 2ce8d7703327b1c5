//! Requests that run at most once: their claims in the platform's log.
//!
//! Not connected yet: every such request is refused, so that none runs twice.

use std::time::Duration;

use swiftcart_core::{Reason, Refusal};

/// When a refused caller comes back.
const COME_BACK: Duration = Duration::from_secs(1);

/// Returns the refusal of a request with an idempotency key.
#[must_use]
pub const fn refuse() -> Refusal {
    Refusal::new(Reason::PlatformDown).with_retry(COME_BACK)
}

//! Retry policy of the callers.

use std::time::Duration;

use super::Shape;
use super::check::{AttemptResult, Verdict};

/// Delay before the first retry when the response has no `Retry-After`; it doubles with every
/// further retry.
const BASE_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before jitter, also when `Retry-After` is longer.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Returns the delay before the next retry, or `None` if the request must not be retried.
///
/// A request is not retried when its response is good or final, or when a retry could execute the
/// request twice.
pub(super) fn retry_delay(
    answer: &AttemptResult,
    shape: &Shape,
    id: &str,
    retries: u32,
) -> Option<Duration> {
    let retryable = match (answer.verdict, answer.outcome.as_deref()) {
        (Verdict::Good, _) => false,
        (_, Some("not-run")) => true,
        (Verdict::Refused, _) if answer.retry_after.is_some() => shape.is_retryable(),
        (Verdict::Refused, Some("done") | None) => false,
        _ => shape.is_retryable(),
    };
    let backoff = BASE_DELAY.saturating_mul(1 << retries.min(6));
    let delay = answer.retry_after.unwrap_or(backoff).min(MAX_DELAY);
    retryable.then(|| delay + delay.mul_f64(jitter(id)))
}

/// Returns the jitter factor of request `id`, between 0 and one half.
///
/// The factor is derived from the id. It prevents callers from retrying all at the same time.
fn jitter(id: &str) -> f64 {
    let byte = blake3::hash(id.as_bytes()).as_bytes()[0];
    f64::from(byte) / 512.0
}

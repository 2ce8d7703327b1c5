//! When a caller sends a request again.

use std::time::Duration;

use super::Shape;
use super::check::{Answer, Verdict};

/// Pause before the first repeat when the answer names none; it doubles with each.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause, also when the answer asks for a longer one.
const LONGEST: Duration = Duration::from_secs(5);

/// Returns how long a caller waits before it sends the request again, or `None` when it
/// does not: the answer is good or final, or a repeat could do the work twice.
pub(super) fn pause(answer: &Answer, shape: &Shape, id: &str, retries: u32) -> Option<Duration> {
    let repeats = match (answer.verdict, answer.outcome.as_deref()) {
        (Verdict::Good, _) => false,
        (_, Some("not-run")) => true,
        (Verdict::Refused, _) if answer.retry_after.is_some() => shape.is_repeatable(),
        (Verdict::Refused, Some("done") | None) => false,
        _ => shape.is_repeatable(),
    };
    let back_off = PAUSE.saturating_mul(1 << retries.min(6));
    let pause = answer.retry_after.unwrap_or(back_off).min(LONGEST);
    repeats.then(|| pause + pause.mul_f64(spread(id)))
}

/// Returns up to a half, the same for the same id, so that callers do not come back at once.
fn spread(id: &str) -> f64 {
    let byte = blake3::hash(id.as_bytes()).as_bytes()[0];
    f64::from(byte) / 512.0
}

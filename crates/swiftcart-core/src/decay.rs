//! Exponential decay of counts and averages.

use std::time::Duration;

/// Returns the weight of a value of this `age` under exponential decay with `time_constant`.
pub(crate) fn decay_factor(age: Duration, time_constant: Duration) -> f64 {
    let time_constant = time_constant.as_secs_f64().max(f64::MIN_POSITIVE);
    (-age.as_secs_f64() / time_constant).exp()
}

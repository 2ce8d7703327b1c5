//! Trust in the statements of a backend server.

/// Weight of one call in the moving averages.
const CALL_WEIGHT: f64 = 1.0 / 16.0;

/// Part of the stated excess that has to be seen for full trust. Calls differ in length, so less
/// than all of it is seen at times.
const CONFIRMING_SHARE: f64 = 0.5;

/// Trust in one figure: how much of the excess service time that it predicts is seen in calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Trust {
    /// Moving average of the predicted excess.
    stated: f64,
    /// Moving average of the excess that calls took.
    seen: f64,
}

impl Default for Trust {
    fn default() -> Self {
        Self {
            stated: 1.0,
            seen: 1.0,
        }
    }
}

impl Trust {
    /// Records a call for which `stated` was predicted and that took `seen`.
    pub(super) fn record(&mut self, stated: f64, seen: f64) {
        self.stated += CALL_WEIGHT * (stated - self.stated);
        self.seen += CALL_WEIGHT * (seen - self.seen);
    }

    /// Returns the share of a statement that is believed, from 0 to 1.
    pub(super) fn share(&self) -> f64 {
        (self.seen / (CONFIRMING_SHARE * self.stated)).clamp(0.0, 1.0)
    }
}

//! Usual level of a stated figure.

use std::time::Duration;

/// Time constant by which the level follows a higher figure. A slow moment of a shared host is a
/// small part of it, so it hardly raises the level.
const RISE_SECS: f64 = 10.0;

/// Maximum time for which one statement raises the level. In a longer silence, nothing is known.
const MAX_STEP_SECS: f64 = 1.0;

/// Usual level of a stated figure: the low figures between its peaks.
///
/// A lower figure is adopted at once, a higher one slowly. What lasts is therefore usual.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Level {
    /// `None` before the first statement.
    level: Option<f64>,
    /// Last stated figure.
    figure: f64,
}

impl Level {
    /// Applies a figure that is stated `elapsed` after the last one, and returns the level.
    pub(super) fn update(&mut self, elapsed: Duration, figure: f64) -> f64 {
        let secs = elapsed.as_secs_f64().min(MAX_STEP_SECS);
        let rise = 1.0 - (-secs / RISE_SECS).exp();
        let level = self.level.map_or(figure, |level| {
            let risen = level + (self.figure - level) * rise;
            risen.min(0.5 * (risen + figure))
        });
        *self = Self {
            level: Some(level),
            figure,
        };
        level
    }
}

//! The limit that follows what a backend server really bears.

use std::time::Duration;

/// The weight of the latest unloaded window in the unloaded latency.
const FRESH: f64 = 0.5;

/// The standard errors by which a slow window has to stand out.
const SURE: f64 = 1.0;

/// The part that a slow window leaves of an additive-increase limit.
const BACK_OFF: f64 = 0.9;

/// The weight of one window in a gradient limit.
const SMOOTH: f64 = 0.3;

/// Chooses how the limit follows the latency.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitRule {
    /// The limit stays at the announced slots.
    Fixed,
    /// A slow window takes a tenth off the limit, another one adds one.
    #[default]
    Aimd,
    /// The limit is scaled by unloaded over loaded latency, plus one.
    Gradient,
}

/// Sets how the limit follows the latency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// How the limit follows the latency.
    pub rule: LimitRule,
    /// How many times the unloaded latency a loaded one may be.
    pub tolerance: f64,
    /// The loaded samples of one window.
    pub window: u32,
    /// The loaded samples without an unloaded one after which the load is lowered for a moment.
    pub patience: u32,
    /// The unloaded samples of one window, which also end such a moment.
    pub probe: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            rule: LimitRule::default(),
            tolerance: 1.5,
            window: 32,
            patience: 512,
            probe: 16,
        }
    }
}

/// Lowers the announced slots when latency grows with the requests in flight.
///
/// A backend server that announces more slots than it has answers slower the
/// more it is given. Samples are told apart by the requests that ran when they
/// started and ended: up to half of the limit they are unloaded, above it loaded. The
/// comparison holds whatever the mix of short and long requests is, since the mix
/// does not depend on the load; a latency's lowest value would not.
///
/// When the load never falls, there are no unloaded samples. The limit is then
/// halved until a few were seen.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AdaptiveLimit {
    settings: LimitSettings,
    ceiling: u32,
    limit: f64,
    /// The unloaded latency in seconds.
    base: Option<f64>,
    unloaded: Window,
    loaded: Window,
    /// Loaded samples since the last unloaded one.
    dry: u32,
    /// Unloaded samples still wanted while the limit is halved.
    probing: u32,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Window {
    count: u32,
    sum: f64,
    squares: f64,
}

impl AdaptiveLimit {
    pub(super) fn new(ceiling: u32, settings: LimitSettings) -> Self {
        Self {
            settings,
            ceiling,
            limit: f64::from(ceiling),
            base: None,
            unloaded: Window::default(),
            loaded: Window::default(),
            dry: 0,
            probing: 0,
        }
    }

    /// Sets the greatest value; a changed announcement is believed until samples speak against it.
    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        if ceiling != self.ceiling {
            *self = Self::new(ceiling, self.settings);
        }
    }

    /// Returns the requests that may run at once.
    pub(super) fn value(&self) -> u32 {
        let limit = self.floor_limit();
        match self.probing {
            0 => limit,
            _ => limit.div_ceil(2),
        }
    }

    /// Takes in a call during which up to `running` calls were in flight, itself among them.
    pub(super) fn learn(&mut self, latency: Duration, running: u32) {
        if self.settings.rule == LimitRule::Fixed {
            return;
        }
        let secs = latency.as_secs_f64();
        if running <= self.floor_limit().div_ceil(2) {
            self.learn_unloaded(secs);
        } else {
            self.learn_loaded(secs);
        }
    }

    fn learn_unloaded(&mut self, secs: f64) {
        self.unloaded.add(secs);
        self.dry = 0;
        self.probing = self.probing.saturating_sub(1);
        if self.unloaded.count >= self.settings.probe {
            let latest = std::mem::take(&mut self.unloaded).mean();
            let base = self.base.get_or_insert(latest);
            *base += FRESH * (latest - *base);
        }
    }

    fn learn_loaded(&mut self, secs: f64) {
        self.loaded.add(secs);
        self.dry += 1;
        if self.dry >= self.settings.patience {
            self.dry = 0;
            self.probing = self.settings.probe;
        }
        if self.loaded.count >= self.settings.window {
            let window = std::mem::take(&mut self.loaded);
            if let Some(base) = self.base {
                self.adjust(window, base);
            }
        }
    }

    fn adjust(&mut self, window: Window, base: f64) {
        let bound = base * self.settings.tolerance;
        let sure = window.mean() - SURE * window.error();
        let limit = match self.settings.rule {
            LimitRule::Fixed => self.limit,
            LimitRule::Aimd if sure > bound => self.limit * BACK_OFF,
            LimitRule::Aimd => self.limit + 1.0,
            LimitRule::Gradient => {
                let gradient = (bound / window.mean().max(f64::MIN_POSITIVE)).clamp(0.5, 1.0);
                let aim = self.limit * gradient + 1.0;
                self.limit + SMOOTH * (aim - self.limit)
            }
        };
        self.limit = limit.clamp(1.0, f64::from(self.ceiling.max(1)));
    }

    /// Returns the limit in whole requests, leaving aside a probe.
    fn floor_limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.ceiling.max(1))
    }
}

impl Window {
    fn add(&mut self, secs: f64) {
        self.count += 1;
        self.sum += secs;
        self.squares += secs * secs;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }

    /// Returns the standard error of the mean.
    fn error(&self) -> f64 {
        let n = f64::from(self.count.max(1));
        let variance = self.squares / n - self.mean() * self.mean();
        (variance.max(0.0) / n).sqrt()
    }
}

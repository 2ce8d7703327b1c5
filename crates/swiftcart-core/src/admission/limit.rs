//! The limit that follows what a backend server really bears.

use std::time::Duration;

/// The weight of the latest unloaded window in the unloaded latency.
const FRESH: f64 = 0.5;

/// The part of the unloaded latency below which a new window of it counts as news.
const NEWS: f64 = 0.8;

/// The doublings from the shortest to the longest time between two probes.
const PAUSES: u32 = 4;

/// The standard errors by which a slow window has to stand out.
const SURE: f64 = 1.0;

/// The part that a slow window leaves of the limit.
const BACK_OFF: f64 = 0.9;

/// Chooses how the limit follows the latency.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitRule {
    /// The limit stays at the announced slots.
    Fixed,
    /// A slow window takes a tenth off the limit, another one adds one.
    #[default]
    Aimd,
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
    /// The most loaded samples without an unloaded one before the load is lowered for a moment.
    pub probe_after: u32,
    /// The unloaded samples of one window, which also end such a moment.
    pub probe: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            rule: LimitRule::default(),
            tolerance: 1.5,
            window: 32,
            probe_after: 4096,
            probe: 16,
        }
    }
}

/// Lowers the announced slots when latency grows with the requests in flight.
///
/// A backend server that announces more slots than it has answers slower the
/// more it is given. Samples are told apart by the requests that ran when they
/// started: up to half of the limit they are unloaded, above it loaded. What runs
/// at their end must not count: a short call is likelier to end before more have
/// come, so the unloaded ones would be the short ones. The comparison holds
/// whatever the mix of short and long requests is, since the mix does not depend
/// on the load; a latency's lowest value would not.
///
/// When the load never falls, there are no unloaded samples. The limit is then
/// halved until a few were seen: at first soon, and later more seldom the less
/// such probes tell, since each costs about half a round of calls.
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
    /// Loaded samples after which a probe begins.
    pause: u32,
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
            pause: settings.probe_after >> PAUSES,
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

    /// Takes in a call that started with `running` calls in flight, itself among them.
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
        self.dry = 0;
        self.unloaded.add(secs);
        self.probing = self.probing.saturating_sub(1);
        if self.unloaded.count >= self.settings.probe {
            let latest = std::mem::take(&mut self.unloaded).mean();
            self.renew(latest);
        }
    }

    /// Takes in a window of unloaded samples.
    fn renew(&mut self, latest: f64) {
        let longest = self.settings.probe_after;
        let base = self.base.get_or_insert(latest);
        self.pause = match latest < *base * NEWS {
            true => (self.pause / 2).max(longest >> PAUSES),
            false => self.pause.saturating_mul(2).min(longest),
        };
        *base += FRESH * (latest - *base);
    }

    fn learn_loaded(&mut self, secs: f64) {
        self.loaded.add(secs);
        self.dry += 1;
        if self.dry >= self.pause {
            self.dry = 0;
            self.probing = self.settings.probe;
            // What is in it may have started in the last probe and ended in the load after it.
            self.unloaded = Window::default();
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

//! The intended time and the shape of every request, fixed by the seed.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use super::Load;

/// Ticks under way between the clock's thread and the runtime.
const AHEAD: usize = 1024;

/// Says that a request is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick {
    pub(super) index: u64,
    /// When it should be sent.
    pub(super) due: Instant,
    /// Which shape it has.
    pub(super) shape: usize,
}

/// Draws the ticks of a load.
pub(super) struct Schedule {
    rng: SmallRng,
    weights: Vec<u32>,
    total: u32,
    gap: Duration,
    poisson: bool,
    span: Duration,
}

impl Schedule {
    pub(super) fn new(load: &Load) -> Self {
        let weights: Vec<_> = load.shapes.iter().map(|(_, w)| *w).collect();
        Self {
            rng: SmallRng::seed_from_u64(load.seed),
            total: weights.iter().fold(0, |sum, w| sum.saturating_add(*w)),
            weights,
            gap: Duration::from_secs_f64(1.0 / load.rate),
            poisson: load.poisson,
            span: load.span(),
        }
    }

    /// Sends each tick when it is due, from a thread: the runtime's timer is only good
    /// to a millisecond.
    pub(super) fn start(mut self) -> mpsc::Receiver<Tick> {
        let (sender, ticks) = mpsc::channel(AHEAD);
        let start = Instant::now();
        thread::spawn(move || {
            let mut after = Duration::ZERO;
            for index in 0.. {
                if after >= self.span {
                    return;
                }
                let tick = Tick {
                    index,
                    due: start + after,
                    shape: self.shape(),
                };
                thread::sleep(tick.due.saturating_duration_since(Instant::now()));
                if sender.blocking_send(tick).is_err() {
                    return;
                }
                after += self.next_gap();
            }
        });
        ticks
    }

    fn next_gap(&mut self) -> Duration {
        match self.poisson {
            false => self.gap,
            true => self.gap.mul_f64(-(1.0 - self.rng.random::<f64>()).ln()),
        }
    }

    fn shape(&mut self) -> usize {
        let mut left = self.rng.random_range(0..self.total);
        for (shape, weight) in self.weights.iter().enumerate() {
            match left.checked_sub(*weight) {
                Some(rest) => left = rest,
                None => return shape,
            }
        }
        0
    }
}

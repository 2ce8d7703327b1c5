//! Schedule of a load: the send time and the shape of every request, determined by the seed.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

use super::Load;

/// Capacity of the channel from the timer thread to the runtime, in ticks.
const CHANNEL_CAPACITY: usize = 1024;

/// Request that is due for sending.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tick {
    pub(super) index: u64,
    /// Scheduled send time.
    pub(super) due: Instant,
    /// Index of the request's shape.
    pub(super) shape: usize,
}

/// Generator of the ticks of a load.
pub(super) struct Schedule {
    rng: SmallRng,
    weights: Vec<u32>,
    total: u32,
    gap: Duration,
    poisson: bool,
    duration: Duration,
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
            duration: load.duration(),
        }
    }

    /// Starts a thread that sends each tick when it is due.
    ///
    /// A thread is used because the runtime's timer has a resolution of one millisecond.
    pub(super) fn start(mut self) -> mpsc::Receiver<Tick> {
        let (sender, ticks) = mpsc::channel(CHANNEL_CAPACITY);
        let start = Instant::now();
        thread::spawn(move || {
            let mut after = Duration::ZERO;
            for index in 0.. {
                if after >= self.duration {
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

//! What fails when in one run, drawn from its seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_standin::{BackendFaults, LogFaults, Outage, Restart};

use super::proxy::Wire;

/// Faults of one run at least, and so many more at most.
const FAULTS: usize = 4;
const MORE: usize = 5;

/// When the first fault comes and the last one has come, in milliseconds.
const FROM_MS: u64 = 500;
const UNTIL_MS: u64 = 6000;

/// How long a fault lasts, in milliseconds; several overlap in most runs.
const SHORTEST_MS: u64 = 200;
const LONGEST_MS: u64 = 2500;

/// One fault and what it strikes.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The node of an instance gets SIGKILL, and starts again afterwards.
    Kill(usize),
    /// The node of an instance gets SIGTERM, and starts again once it has ended.
    Stop(usize),
    /// The node of an instance stands still.
    Pause(usize),
    /// The platform's log misbehaves.
    Log(LogFaults),
    /// A backend server misbehaves.
    Backend(usize, BackendFaults),
    /// The way from all nodes to the platform misbehaves.
    Platform(Wire),
    /// The way from callers to the node of an instance misbehaves.
    Callers(usize, Wire),
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When it begins, in milliseconds from the start of the callers.
    pub from_ms: u64,
    /// When it ends.
    pub until_ms: u64,
    /// What fails.
    pub fault: Fault,
}

/// Draws the faults of the run `seed` on `instances` instances, in order of their beginning.
///
/// The same seed gives the same faults.
#[must_use]
pub fn draw(seed: u64, instances: usize) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = FAULTS + rng.random_range(0..=MORE);
    let mut steps: Vec<Step> = (0..count)
        .map(|_| {
            let from_ms = rng.random_range(FROM_MS..UNTIL_MS);
            let until_ms = from_ms + rng.random_range(SHORTEST_MS..LONGEST_MS);
            Step {
                from_ms,
                until_ms,
                fault: fault(&mut rng, instances),
            }
        })
        .collect();
    steps.sort_by_key(|step| step.from_ms);
    steps
}

fn fault(rng: &mut SmallRng, instances: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..8) {
        0 => Fault::Kill(instance),
        1 => Fault::Stop(instance),
        2 => Fault::Pause(instance),
        3 => Fault::Log(log(rng)),
        4 => Fault::Backend(instance, backend(rng)),
        5 => Fault::Platform(wire(rng)),
        6 => Fault::Backend(instance, notice(rng)),
        _ => Fault::Callers(instance, wire(rng)),
    }
}

fn log(rng: &mut SmallRng) -> LogFaults {
    let faults = LogFaults::new();
    match rng.random_range(0..4) {
        0 => faults.with_outage(Outage::Unavailable),
        1 => LogFaults {
            stall: true,
            ..faults
        },
        2 => LogFaults {
            late_ms: rng.random_range(100..1500),
            ..faults
        },
        _ => LogFaults {
            lose_answers: rng.random_range(1..6),
            ..faults
        },
    }
}

fn backend(rng: &mut SmallRng) -> BackendFaults {
    let faults = BackendFaults::new();
    match rng.random_range(0..8) {
        0 => faults.with_slow_ms(rng.random_range(50..400)),
        1 => BackendFaults {
            hang: true,
            ..faults
        },
        2 => BackendFaults {
            lose_answers: rng.random_range(1..20),
            ..faults
        },
        3 => BackendFaults {
            break_body: Some(rng.random_range(0..5000)),
            ..faults
        },
        4 => BackendFaults {
            fail_status: Some(500),
            ..faults
        },
        5 => faults.with_restart(Restart::Later),
        6 => faults.with_restart(Restart::SetBack),
        _ => faults.with_malformed(true),
    }
}

/// Draws what a backend server says of itself in its answers.
fn notice(rng: &mut SmallRng) -> BackendFaults {
    let faults = BackendFaults::new();
    match rng.random_range(0..3) {
        0 => faults.with_leaving(true),
        _ => faults.with_rate(f64::from(rng.random_range(0_u32..30)) / 10.0),
    }
}

fn wire(rng: &mut SmallRng) -> Wire {
    match rng.random_range(0..4) {
        0 => Wire::Delayed {
            ms: rng.random_range(20..300),
        },
        1 => Wire::Reset,
        2 => Wire::Silent,
        _ => Wire::OneWay,
    }
}

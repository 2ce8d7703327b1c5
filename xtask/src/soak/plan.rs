//! Random fault schedule of a run, generated from its seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_standin::{BackendFaults, LogFaults, Outage, Restart};

use super::proxy::TrafficMode;

/// Minimum number of faults in a run, and the maximum number of additional faults.
const MIN_FAULTS: usize = 4;
const MAX_EXTRA_FAULTS: usize = 5;

/// Range of the start times of faults, in milliseconds from the start of the load.
const FIRST_START_MS: u64 = 500;
const LAST_START_MS: u64 = 6000;

/// Range of the duration of a fault, in milliseconds.
///
/// Several faults overlap in most runs.
const MIN_DURATION_MS: u64 = 200;
const MAX_DURATION_MS: u64 = 2500;

/// Fault to inject, with its target.
///
/// A `usize` is the index of the affected instance.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Kills the node of an instance with SIGKILL and restarts it when the fault ends.
    Kill(usize),
    /// Stops the node of an instance with SIGTERM and restarts it once it has exited.
    Stop(usize),
    /// Suspends the node process of an instance.
    Pause(usize),
    /// Injects faults into the log of the platform.
    Log(LogFaults),
    /// Injects faults into the backend server of an instance.
    Backend(usize, BackendFaults),
    /// Disturbs the connections from all nodes to the platform.
    Platform(TrafficMode),
    /// Disturbs the connections from callers to the node of an instance.
    Callers(usize, TrafficMode),
}

/// Fault with its start and end time.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// Start of the fault, in milliseconds from the start of the load.
    pub start_ms: u64,
    /// End of the fault, in milliseconds from the start of the load.
    pub end_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Returns the fault schedule of `seed` for `instances` instances, ordered by start time.
///
/// The same arguments always give the same schedule.
#[must_use]
pub fn draw_faults(seed: u64, instances: usize) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = MIN_FAULTS + rng.random_range(0..=MAX_EXTRA_FAULTS);
    let mut schedule: Vec<ScheduledFault> = (0..count)
        .map(|_| {
            let start_ms = rng.random_range(FIRST_START_MS..LAST_START_MS);
            let end_ms = start_ms + rng.random_range(MIN_DURATION_MS..MAX_DURATION_MS);
            ScheduledFault {
                start_ms,
                end_ms,
                fault: draw_fault(&mut rng, instances),
            }
        })
        .collect();
    schedule.sort_by_key(|scheduled| scheduled.start_ms);
    schedule
}

fn draw_fault(rng: &mut SmallRng, instances: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..8) {
        0 => Fault::Kill(instance),
        1 => Fault::Stop(instance),
        2 => Fault::Pause(instance),
        3 => Fault::Log(draw_log_faults(rng)),
        4 => Fault::Backend(instance, draw_backend_faults(rng)),
        5 => Fault::Platform(draw_traffic_mode(rng)),
        6 => Fault::Backend(instance, draw_notice_faults(rng)),
        _ => Fault::Callers(instance, draw_traffic_mode(rng)),
    }
}

fn draw_log_faults(rng: &mut SmallRng) -> LogFaults {
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

fn draw_backend_faults(rng: &mut SmallRng) -> BackendFaults {
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

/// Draws a notice in the answers of a backend server: its departure or a rate.
fn draw_notice_faults(rng: &mut SmallRng) -> BackendFaults {
    let faults = BackendFaults::new();
    match rng.random_range(0..3) {
        0 => faults.with_leaving(true),
        _ => faults.with_rate(f64::from(rng.random_range(0_u32..30)) / 10.0),
    }
}

fn draw_traffic_mode(rng: &mut SmallRng) -> TrafficMode {
    match rng.random_range(0..4) {
        0 => TrafficMode::Delayed {
            ms: rng.random_range(20..300),
        },
        1 => TrafficMode::Reset,
        2 => TrafficMode::Silent,
        _ => TrafficMode::OneWay,
    }
}

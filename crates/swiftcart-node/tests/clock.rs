//! Tests of the clock for deadlines and its conversion to the clock of the timers.

use std::fs;
use std::time::Duration;

use swiftcart_core::Instant;
use swiftcart_node::Clock;

/// Returns the time since the instance booted as reported by the kernel, including time in which the
/// instance was suspended.
fn uptime() -> Duration {
    let text = fs::read_to_string("/proc/uptime").expect("/proc/uptime is readable");
    let seconds = text.split(' ').next().expect("a number");
    Duration::from_secs_f64(seconds.parse().expect("a number"))
}

#[test]
fn clock_advances_like_the_time_since_boot() {
    let before = uptime();
    let clock = Clock::new();
    std::thread::sleep(Duration::from_millis(300));
    let passed = clock.now().elapsed();
    let expected = uptime() - before;
    // The kernel reports the uptime in hundredths of a second.
    assert!(
        passed.abs_diff(expected) < Duration::from_millis(40),
        "{passed:?}, {expected:?}"
    );
}

#[test]
fn future_instants_keep_their_distance_on_the_timer_clock() {
    let clock = Clock::new();
    let now = tokio::time::Instant::now();
    let ahead = clock.tokio(clock.now() + Duration::from_secs(5)) - now;
    assert!(
        ahead.abs_diff(Duration::from_secs(5)) < Duration::from_millis(50),
        "{ahead:?}"
    );
}

#[test]
fn past_instants_are_due_now() {
    let clock = Clock::new();
    std::thread::sleep(Duration::from_millis(20));
    let late = clock.tokio(Instant::default());
    assert!(late.elapsed() < Duration::from_millis(15));
}

//! The clock by which deadlines are kept, beside the one by which timers run.

use std::fs;
use std::time::Duration;

use swiftcart_core::Instant;
use swiftcart_node::Clock;

/// Returns the time since the instance was started, with the time in which it was suspended, as the
/// kernel tells it.
fn uptime() -> Duration {
    let text = fs::read_to_string("/proc/uptime").expect("the kernel's word");
    let seconds = text.split(' ').next().expect("a number");
    Duration::from_secs_f64(seconds.parse().expect("a number"))
}

#[test]
fn it_goes_on_as_the_time_since_the_instance_was_started_does() {
    let before = uptime();
    let clock = Clock::new();
    std::thread::sleep(Duration::from_millis(300));
    let passed = clock.now().elapsed();
    let expected = uptime() - before;
    // The kernel's word is in hundredths of a second.
    assert!(
        passed.abs_diff(expected) < Duration::from_millis(40),
        "{passed:?}, {expected:?}"
    );
}

#[test]
fn timers_get_the_time_from_now_on() {
    let clock = Clock::new();
    let now = tokio::time::Instant::now();
    let ahead = clock.tokio(clock.now() + Duration::from_secs(5)) - now;
    assert!(
        ahead.abs_diff(Duration::from_secs(5)) < Duration::from_millis(50),
        "{ahead:?}"
    );
}

#[test]
fn what_lies_in_the_past_is_due_now() {
    let clock = Clock::new();
    std::thread::sleep(Duration::from_millis(20));
    let late = clock.tokio(Instant::default());
    assert!(late.elapsed() < Duration::from_millis(15));
}

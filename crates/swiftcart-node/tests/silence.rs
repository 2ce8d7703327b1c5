//! Kept connections that go silent for good are noticed by the kernel's keep-alive probes.
//!
//! No packet is lost on the loopback interface, so the test reads the timers of the sockets.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use common::{SERVICE, backend_at, call, log_with, node, node_beside, request};
use swiftcart_core::Limits;
use swiftcart_standin::BackendSettings;

/// Maximum time until the first probe of an idle connection.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Unit of the timers in `/proc`, a hundredth of a second.
const TICK: Duration = Duration::from_millis(10);

/// State of an established connection in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";

/// Kind of the timer of an idle connection with keep-alive probes in `/proc/net/tcp`.
const KEEP_ALIVE_TIMER: &str = "02";

/// Returns the time until the first keep-alive probe of each idle connection to `addr`, `None` for a
/// connection without probes.
fn probe_times(addr: SocketAddr) -> Vec<Option<Duration>> {
    let IpAddr::V4(ip) = addr.ip() else {
        panic!("{addr} is no IPv4 address");
    };
    let remote = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(ip.octets()),
        addr.port()
    );
    let table = fs::read_to_string("/proc/self/net/tcp").unwrap();
    let fields = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    fields
        .filter(|fields| fields[2] == remote && fields[3] == ESTABLISHED)
        .map(|fields| {
            let (kind, ticks) = fields[5].split_once(':').unwrap();
            let ticks = u32::from_str_radix(ticks, 16).unwrap();
            (kind == KEEP_ALIVE_TIMER).then(|| TICK * ticks)
        })
        .collect()
}

/// Guards against kept connections between nodes and to backend servers that wait for the deadline of
/// each request once they went silent.
#[tokio::test]
async fn idle_connections_are_probed_within_a_second() {
    let log = log_with(Limits::default()).await;
    let beside = node(&log).await;
    let backend = backend_at(&beside, BackendSettings::new(SERVICE)).await;
    let far = node_beside(&beside, &log).await;
    let reply = call(&far, request("GET", "/x", &[])).await;
    assert_eq!(reply.status.as_u16(), 200);
    for addr in [beside.shared().settings.listen.peer, backend.addr()] {
        let times = probe_times(addr);
        assert!(!times.is_empty(), "a kept connection to {addr}");
        let probed = |time: &Option<Duration>| time.is_some_and(|time| time <= PROBE_TIME + TICK);
        assert!(times.iter().all(probed), "{addr}: {times:?}");
    }
}

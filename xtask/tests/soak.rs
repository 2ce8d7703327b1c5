//! Fault schedules of the soak and traffic modes of its proxy.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use swiftcart_standin::BackendFaults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use xtask::{Fault, Proxy, ScheduledFault, TrafficMode, draw_faults};

/// Time to wait for bytes that must arrive, and for bytes that must not.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const BLOCKED_WAIT: Duration = Duration::from_millis(200);

#[test]
fn same_seed_draws_the_same_faults() {
    assert_eq!(draw_faults(7, 13), draw_faults(7, 13));
    assert_ne!(draw_faults(7, 13), draw_faults(8, 13));
}

#[test]
fn every_kind_of_fault_is_drawn_within_fifty_seeds() {
    let schedule: Vec<_> = (1..=50).flat_map(|seed| draw_faults(seed, 13)).collect();
    let kind = |fault: &Fault| std::mem::discriminant(fault);
    let mut kinds: Vec<_> = Vec::new();
    for scheduled in &schedule {
        assert!(scheduled.start_ms < scheduled.end_ms);
        if !kinds.contains(&kind(&scheduled.fault)) {
            kinds.push(kind(&scheduled.fault));
        }
    }
    assert_eq!(kinds.len(), 7);
}

#[test]
fn backend_servers_announce_rates_and_departures_within_ten_seeds() {
    let schedule: Vec<_> = (1..=10).flat_map(|seed| draw_faults(seed, 13)).collect();
    let announced = |predicate: fn(&BackendFaults) -> bool| {
        let is_match =
            |s: &ScheduledFault| matches!(&s.fault, Fault::Backend(_, f) if predicate(f));
        schedule.iter().any(is_match)
    };
    assert!(announced(|faults| faults.rate.is_some()));
    assert!(announced(|faults| faults.leaving));
}

#[test]
fn faults_overlap_in_most_seeds() {
    let overlaps = |seed: u64| {
        let schedule = draw_faults(seed, 13);
        schedule.windows(2).any(|w| w[1].start_ms < w[0].end_ms)
    };
    let count = (1..=50).filter(|seed| overlaps(*seed)).count();
    assert!(count > 40, "faults overlap in only {count} of 50 seeds");
}

/// Starts a server that echoes the bytes it receives.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = socket.split();
                tokio::io::copy(&mut read, &mut write).await.ok();
            });
        }
    });
    addr
}

async fn connect_through_proxy() -> (Proxy, TcpStream) {
    let proxy = Proxy::bind().await.expect("a proxy");
    proxy.set_target(start_echo_server().await);
    let mut socket = TcpStream::connect(proxy.addr())
        .await
        .expect("a connection");
    assert!(receives_echo(&mut socket, READ_TIMEOUT).await);
    (proxy, socket)
}

/// Returns `true` if a message is echoed within `time`.
async fn receives_echo(socket: &mut TcpStream, time: Duration) -> bool {
    if socket.write_all(b"word").await.is_err() {
        return false;
    }
    let mut buffer = [0; 4];
    let read = timeout(time, socket.read_exact(&mut buffer)).await;
    matches!(read, Ok(Ok(_)))
}

#[rstest]
#[case::both_directions(TrafficMode::Silent)]
#[case::to_client_only(TrafficMode::OneWay)]
#[tokio::test]
async fn bytes_are_held_back_until_the_proxy_reopens(#[case] mode: TrafficMode) {
    let (proxy, mut socket) = connect_through_proxy().await;
    proxy.set_mode(mode);
    assert!(!receives_echo(&mut socket, BLOCKED_WAIT).await);
    proxy.set_mode(TrafficMode::Open);
    let mut buffer = [0; 4];
    let read = timeout(READ_TIMEOUT, socket.read_exact(&mut buffer)).await;
    assert!(
        matches!(read, Ok(Ok(_))),
        "held back bytes must arrive once the proxy reopens"
    );
}

#[tokio::test]
async fn reset_closes_existing_and_new_connections() {
    let (proxy, mut socket) = connect_through_proxy().await;
    proxy.set_mode(TrafficMode::Reset);
    let mut buffer = [0; 4];
    let read = timeout(READ_TIMEOUT, socket.read(&mut buffer)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    let mut refused = TcpStream::connect(proxy.addr())
        .await
        .expect("a connection");
    assert!(!receives_echo(&mut refused, READ_TIMEOUT).await);
    proxy.set_mode(TrafficMode::Open);
    let mut reopened = TcpStream::connect(proxy.addr())
        .await
        .expect("a connection");
    assert!(receives_echo(&mut reopened, READ_TIMEOUT).await);
}

#[tokio::test]
async fn delay_applies_in_each_direction() {
    let (proxy, mut socket) = connect_through_proxy().await;
    proxy.set_mode(TrafficMode::Delayed { ms: 60 });
    let start = std::time::Instant::now();
    assert!(receives_echo(&mut socket, READ_TIMEOUT).await);
    assert!(start.elapsed() >= Duration::from_millis(120));
}

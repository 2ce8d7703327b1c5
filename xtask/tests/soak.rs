//! What the soak draws, and what its proxy does to connections.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use swiftcart_standin::BackendFaults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use xtask::{Fault, Proxy, Step, Wire, draw};

/// How long a test waits for bytes that must come, and for those that must not.
const PATIENCE: Duration = Duration::from_secs(10);
const SILENCE: Duration = Duration::from_millis(200);

#[test]
fn a_seed_always_draws_the_same_faults() {
    assert_eq!(draw(7, 13), draw(7, 13));
    assert_ne!(draw(7, 13), draw(8, 13));
}

#[test]
fn every_kind_of_fault_is_drawn_within_fifty_seeds() {
    let steps: Vec<_> = (1..=50).flat_map(|seed| draw(seed, 13)).collect();
    let kind = |fault: &Fault| std::mem::discriminant(fault);
    let mut kinds: Vec<_> = Vec::new();
    for step in &steps {
        assert!(step.from_ms < step.until_ms);
        if !kinds.contains(&kind(&step.fault)) {
            kinds.push(kind(&step.fault));
        }
    }
    assert_eq!(kinds.len(), 7);
}

#[test]
fn backend_servers_name_rates_and_leave_within_ten_seeds() {
    let steps: Vec<_> = (1..=10).flat_map(|seed| draw(seed, 13)).collect();
    let said = |says: fn(&BackendFaults) -> bool| {
        let fits = |step: &Step| matches!(&step.fault, Fault::Backend(_, faults) if says(faults));
        steps.iter().any(fits)
    };
    assert!(said(|faults| faults.rate.is_some()));
    assert!(said(|faults| faults.leaving));
}

#[test]
fn faults_overlap_in_most_seeds() {
    let overlaps = |seed: u64| {
        let steps = draw(seed, 13);
        steps.windows(2).any(|w| w[1].from_ms < w[0].until_ms)
    };
    let count = (1..=50).filter(|seed| overlaps(*seed)).count();
    assert!(count > 40, "{count} of 50");
}

/// Starts a server that sends back what it gets.
async fn echo() -> SocketAddr {
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

async fn connected() -> (Proxy, TcpStream) {
    let proxy = Proxy::open().await.expect("a proxy");
    proxy.aim(echo().await);
    let mut socket = TcpStream::connect(proxy.addr()).await.expect("a way");
    assert!(echoes(&mut socket, PATIENCE).await);
    (proxy, socket)
}

/// Tells whether a word comes back within `time`.
async fn echoes(socket: &mut TcpStream, time: Duration) -> bool {
    if socket.write_all(b"word").await.is_err() {
        return false;
    }
    let mut bytes = [0; 4];
    let read = timeout(time, socket.read_exact(&mut bytes)).await;
    matches!(read, Ok(Ok(_)))
}

#[rstest]
#[case::silence(Wire::Silent)]
#[case::one_way(Wire::OneWay)]
#[tokio::test]
async fn bytes_wait_during(#[case] wire: Wire) {
    let (proxy, mut socket) = connected().await;
    proxy.set(wire);
    assert!(!echoes(&mut socket, SILENCE).await);
    proxy.set(Wire::Open);
    let mut bytes = [0; 4];
    let read = timeout(PATIENCE, socket.read_exact(&mut bytes)).await;
    assert!(matches!(read, Ok(Ok(_))), "what waited comes");
}

#[tokio::test]
async fn a_reset_ends_open_connections_and_refuses_new_ones() {
    let (proxy, mut socket) = connected().await;
    proxy.set(Wire::Reset);
    let mut bytes = [0; 4];
    let read = timeout(PATIENCE, socket.read(&mut bytes)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    let mut late = TcpStream::connect(proxy.addr()).await.expect("a way");
    assert!(!echoes(&mut late, PATIENCE).await);
    proxy.set(Wire::Open);
    let mut again = TcpStream::connect(proxy.addr()).await.expect("a way");
    assert!(echoes(&mut again, PATIENCE).await);
}

#[tokio::test]
async fn a_delay_is_added_to_each_way() {
    let (proxy, mut socket) = connected().await;
    proxy.set(Wire::Delayed { ms: 60 });
    let start = std::time::Instant::now();
    assert!(echoes(&mut socket, PATIENCE).await);
    assert!(start.elapsed() >= Duration::from_millis(120));
}

//! Loopback TCP proxy that injects network faults into its connections.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::Error;

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Treatment of the bytes that a proxy receives.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum TrafficMode {
    /// Bytes are forwarded without delay.
    #[default]
    Open,
    /// Bytes are forwarded after a delay.
    Delayed {
        /// Delay of each chunk, in milliseconds.
        ms: u64,
    },
    /// Existing and new connections are reset.
    Reset,
    /// Bytes are held back in both directions.
    Silent,
    /// Bytes from the target to the client are held back.
    OneWay,
}

/// Direction of a byte stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToClient,
}

/// Proxy that forwards connections to a target set after it is bound.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    mode: Arc<watch::Sender<TrafficMode>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Binds a proxy without a target to a free port.
    ///
    /// Connections are closed until [`set_target`](Self::set_target) is called.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoPort`] when no port is free.
    pub async fn bind() -> Result<Self, Error> {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let bind_result = TcpListener::bind((ip, 0)).await;
        let listener = bind_result.map_err(|_| Error::NoPort(ip))?;
        let addr = listener.local_addr().map_err(|_| Error::NoPort(ip))?;
        let target = watch::Sender::new(None);
        let mode = Arc::new(watch::Sender::new(TrafficMode::Open));
        let task = tokio::spawn(accept(listener, target.subscribe(), Arc::clone(&mode)));
        Ok(Self {
            addr,
            target,
            mode,
            task,
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets the traffic mode of all connections, including existing ones.
    pub fn set_mode(&self, mode: TrafficMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    mode: Arc<watch::Sender<TrafficMode>>,
) {
    while let Ok((client_socket, _)) = listener.accept().await {
        let target = *target.borrow();
        let mode = mode.subscribe();
        let accepts = *mode.borrow() != TrafficMode::Reset;
        if let (Some(target), true) = (target, accepts) {
            tokio::spawn(async move {
                // An error needs no handling: both sockets are closed in any case.
                let _result = relay(client_socket, target, mode).await;
            });
        }
    }
}

async fn relay(
    client_socket: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<TrafficMode>,
) -> io::Result<()> {
    let target_socket = TcpStream::connect(target).await?;
    client_socket.set_nodelay(true)?;
    target_socket.set_nodelay(true)?;
    // Dropping a socket with unread bytes resets its connection.
    let mut reset = mode.clone();
    let (client_read, client_write) = client_socket.into_split();
    let (target_read, target_write) = target_socket.into_split();
    tokio::select! {
        result = forward(client_read, target_write, mode.clone(), Direction::ToTarget) => result,
        result = forward(target_read, client_write, mode, Direction::ToClient) => result,
        () = wait_for_reset(&mut reset) => Ok(()),
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<TrafficMode>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        let Some(delay) = wait_for_delay(&mut mode, direction).await else {
            return Ok(());
        };
        sleep(delay).await;
        to.write_all(&buffer[..len]).await?;
    }
}

/// Waits until bytes may be forwarded and returns the delay to apply.
///
/// Returns `None` once the proxy is dropped.
async fn wait_for_delay(
    mode: &mut watch::Receiver<TrafficMode>,
    direction: Direction,
) -> Option<Duration> {
    let is_blocked = |mode: &TrafficMode| match mode {
        TrafficMode::Silent => true,
        TrafficMode::OneWay => direction == Direction::ToClient,
        TrafficMode::Open | TrafficMode::Delayed { .. } | TrafficMode::Reset => false,
    };
    let current = *mode.wait_for(|mode| !is_blocked(mode)).await.ok()?;
    Some(match current {
        TrafficMode::Delayed { ms } => Duration::from_millis(ms),
        TrafficMode::Open | TrafficMode::Reset | TrafficMode::Silent | TrafficMode::OneWay => {
            Duration::ZERO
        }
    })
}

/// Waits until the mode is [`TrafficMode::Reset`] or the proxy is dropped.
async fn wait_for_reset(mode: &mut watch::Receiver<TrafficMode>) {
    let _closed = mode
        .wait_for(|mode| *mode == TrafficMode::Reset)
        .await
        .is_err();
}

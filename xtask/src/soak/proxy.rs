//! A loopback proxy in front of one address, whose connections can be made to misbehave.

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

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// Tells what becomes of the bytes on their way.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Wire {
    /// They are passed on.
    #[default]
    Open,
    /// They are passed on later.
    Delayed {
        /// The delay of each chunk, in milliseconds.
        ms: u64,
    },
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing is passed on, in either direction.
    Silent,
    /// Nothing comes back.
    OneWay,
}

/// Which way bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Out,
    Back,
}

/// Passes connections on to a target that is named later.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    wire: Arc<watch::Sender<Wire>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Opens a proxy without a target; until it has one it closes what connects.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn open() -> Result<Self, Error> {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let bound = TcpListener::bind((ip, 0)).await;
        let listener = bound.map_err(|_| Error::NoPort(ip))?;
        let addr = listener.local_addr().map_err(|_| Error::NoPort(ip))?;
        let target = watch::Sender::new(None);
        let wire = Arc::new(watch::Sender::new(Wire::Open));
        let task = tokio::spawn(accept(listener, target.subscribe(), Arc::clone(&wire)));
        Ok(Self {
            addr,
            target,
            wire,
            task,
        })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Names where connections go.
    pub fn aim(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Changes what becomes of all connections, open ones too.
    pub fn set(&self, wire: Wire) {
        self.wire.send_replace(wire);
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
    wire: Arc<watch::Sender<Wire>>,
) {
    while let Ok((socket, _)) = listener.accept().await {
        let target = *target.borrow();
        let wire = wire.subscribe();
        let open = *wire.borrow() != Wire::Reset;
        if let (Some(target), true) = (target, open) {
            tokio::spawn(async move {
                // A connection that ends in either way has ended for both sides.
                let _ended = carry(socket, target, wire).await;
            });
        }
    }
}

async fn carry(
    socket: TcpStream,
    target: SocketAddr,
    wire: watch::Receiver<Wire>,
) -> io::Result<()> {
    let far = TcpStream::connect(target).await?;
    socket.set_nodelay(true)?;
    far.set_nodelay(true)?;
    // What is dropped with unread bytes is reset.
    let mut reset = wire.clone();
    let (near_read, near_write) = socket.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        ended = pass(near_read, far_write, wire.clone(), Way::Out) => ended,
        ended = pass(far_read, near_write, wire, Way::Back) => ended,
        () = is_reset(&mut reset) => Ok(()),
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut wire: watch::Receiver<Wire>,
    way: Way,
) -> io::Result<()> {
    let mut bytes = vec![0; CHUNK];
    loop {
        let len = from.read(&mut bytes).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        let Some(delay) = delay(&mut wire, way).await else {
            return Ok(());
        };
        sleep(delay).await;
        to.write_all(&bytes[..len]).await?;
    }
}

/// Waits until bytes may be passed on, and returns how late; `None` when the run is over.
async fn delay(wire: &mut watch::Receiver<Wire>, way: Way) -> Option<Duration> {
    let held = |wire: &Wire| match wire {
        Wire::Silent => true,
        Wire::OneWay => way == Way::Back,
        Wire::Open | Wire::Delayed { .. } | Wire::Reset => false,
    };
    let now = *wire.wait_for(|wire| !held(wire)).await.ok()?;
    Some(match now {
        Wire::Delayed { ms } => Duration::from_millis(ms),
        Wire::Open | Wire::Reset | Wire::Silent | Wire::OneWay => Duration::ZERO,
    })
}

/// Waits until connections are to be reset, or the run is over.
async fn is_reset(wire: &mut watch::Receiver<Wire>) {
    let _over = wire.wait_for(|wire| *wire == Wire::Reset).await.is_err();
}

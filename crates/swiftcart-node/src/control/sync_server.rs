//! Server of state pulls, with a limit on concurrent connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::{ControlError, frames};

/// Maximum number of concurrent pulls; further connections wait in the listener's backlog.
const MAX_CONCURRENT_PULLS: usize = 8;
/// Maximum length of a request, in bytes. A member pull with all its buckets has 1.3 kB.
const MAX_REQUEST_BYTES: usize = 4096;
/// Timeout of one pull; the client uses the same limit.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Task that accepts pulls and forwards them to the control loop until it is dropped.
#[derive(Debug)]
pub(super) struct SyncServer(JoinHandle<()>);

/// Sealed request and the channel for its answer.
#[derive(Debug)]
pub(super) struct PendingPull {
    /// Sealed request.
    pub(super) frame: Vec<u8>,
    answer: oneshot::Sender<Vec<u8>>,
}

impl SyncServer {
    /// Listens on `addr` and sends each request to `requests`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(super) async fn bind(
        addr: SocketAddr,
        requests: mpsc::Sender<PendingPull>,
    ) -> Result<Self, ControlError> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|e| ControlError::BindSync(addr, e))?;
        Ok(Self(tokio::spawn(accept(listener, requests))))
    }
}

impl PendingPull {
    /// Sends the sealed answer. The client detects a lost connection itself.
    pub(super) fn answer(self, frame: Vec<u8>) {
        // Sending fails only if the connection's task has ended, and then the answer is not needed.
        drop(self.answer.send(frame));
    }
}

impl Drop for SyncServer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn accept(listener: TcpListener, requests: mpsc::Sender<PendingPull>) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_PULLS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let requests = requests.clone();
        tokio::spawn(async move {
            // The client retries a pull that fails or times out.
            drop(timeout(PULL_TIMEOUT, serve(stream, requests)).await);
            drop(permit);
        });
    }
}

async fn serve(mut stream: TcpStream, requests: mpsc::Sender<PendingPull>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let frame = frames::read(&mut stream, MAX_REQUEST_BYTES).await?;
    let (answer, answered) = oneshot::channel();
    // If the queue is full or the request is invalid, the answer's sender is dropped. The client
    // then reaches its timeout.
    drop(requests.try_send(PendingPull { frame, answer }));
    match answered.await {
        Ok(frame) => frames::write(&mut stream, &frame).await,
        Err(_) => Ok(()),
    }
}

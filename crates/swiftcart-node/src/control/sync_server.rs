//! Serves state pulls of other nodes, a bounded number at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::{ControlError, frames};

/// Pulls served at the same time; further ones wait in the listener's queue.
const MAX_CONCURRENT_PULLS: usize = 8;
/// Longest request that is accepted, in bytes; a member pull with all its buckets has 1.3 kB.
const MAX_REQUEST_BYTES: usize = 4096;
/// Longest time for one pull, as the asker bounds it too.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a connection could not be accepted, for want of descriptors perhaps.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts pulls and hands them to the control loop until it is dropped.
#[derive(Debug)]
pub(super) struct SyncServer(JoinHandle<()>);

/// Holds one sealed request and the way back to its sender.
#[derive(Debug)]
pub(super) struct PendingPull {
    /// The sealed request.
    pub(super) frame: Vec<u8>,
    answer: oneshot::Sender<Vec<u8>>,
}

impl SyncServer {
    /// Listens on `addr` and sends each request into `requests`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
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
    /// Sends the sealed answer; a lost connection is the asker's to notice.
    pub(super) fn answer(self, frame: Vec<u8>) {
        // The task that holds the connection ends with it; then nobody needs the answer.
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
            // A pull that fails or takes too long is the asker's to repeat.
            drop(timeout(PULL_TIMEOUT, serve(stream, requests)).await);
            drop(permit);
        });
    }
}

async fn serve(mut stream: TcpStream, requests: mpsc::Sender<PendingPull>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let frame = frames::read(&mut stream, MAX_REQUEST_BYTES).await?;
    let (answer, answered) = oneshot::channel();
    // A full queue, or a request that does not hold, drops the sender; the asker's
    // timeout covers it.
    drop(requests.try_send(PendingPull { frame, answer }));
    match answered.await {
        Ok(frame) => frames::write(&mut stream, &frame).await,
        Err(_) => Ok(()),
    }
}

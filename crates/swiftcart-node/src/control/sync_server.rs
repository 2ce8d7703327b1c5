//! Serves state pulls of other nodes over `nng` request/reply.
//!
//! The number of `nng` contexts bounds the pulls in progress; further requests
//! wait in the sender's socket until its timeout.

use std::net::SocketAddr;

use nng::options::{Options, RecvMaxSize};
use nng::{Aio, AioResult, Context, Protocol, Socket};
use tokio::sync::mpsc;

use super::ControlError;

/// Pulls served at the same time.
const CONTEXTS: usize = 8;
/// Largest accepted request, in bytes.
const REQUEST_BYTES: usize = 4096;

/// Accepts pulls and hands them to the control loop.
#[derive(Debug)]
pub(super) struct SyncServer {
    socket: Socket,
    workers: Vec<(Aio, Context)>,
}

/// Holds one sealed request and the way back to its sender.
#[derive(Debug)]
pub(super) struct Pending {
    /// The sealed request.
    pub(super) frame: Vec<u8>,
    aio: Aio,
    context: Context,
}

impl SyncServer {
    /// Listens on `addr` and sends each request into `requests`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub(super) fn bind(
        addr: SocketAddr,
        requests: &mpsc::Sender<Pending>,
    ) -> Result<Self, ControlError> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(REQUEST_BYTES)?;
        let workers = (0..CONTEXTS)
            .map(|_| worker(&socket, requests.clone()))
            .collect::<Result<Vec<_>, nng::Error>>()?;
        socket
            .listen(&format!("tcp://{addr}"))
            .map_err(|e| ControlError::Pulls(addr, e))?;
        for (aio, context) in &workers {
            context.recv(aio)?;
        }
        Ok(Self { socket, workers })
    }
}

impl Pending {
    /// Sends the sealed answer; a lost connection is the asker's to notice.
    pub(super) fn answer(self, frame: &[u8]) {
        if self.context.send(&self.aio, frame).is_err() {
            // The context is closing; nobody waits for the answer any more.
        }
    }
}

impl Drop for SyncServer {
    fn drop(&mut self) {
        self.socket.close();
        // A callback that still runs must not hold the last handle: it would wait for itself.
        self.workers.iter().for_each(|(aio, _)| aio.wait());
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        // A request that nobody answered frees its context for the next one.
        // After `answer` the send is in progress and this call is refused.
        self.context.recv(&self.aio).unwrap_or_default();
    }
}

fn worker(socket: &Socket, requests: mpsc::Sender<Pending>) -> Result<(Aio, Context), nng::Error> {
    let context = Context::new(socket)?;
    let own = context.clone();
    let aio = Aio::new(move |aio, result| on_event(&aio, &own, &requests, result))?;
    Ok((aio, context))
}

fn on_event(aio: &Aio, context: &Context, requests: &mpsc::Sender<Pending>, result: AioResult) {
    match result {
        AioResult::Recv(Ok(message)) => {
            let pending = Pending {
                frame: message.as_slice().to_vec(),
                aio: aio.clone(),
                context: context.clone(),
            };
            // A full queue drops the request; the asker's timeout covers it.
            drop(requests.try_send(pending));
        }
        AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => {}
        AioResult::Send(_) | AioResult::Recv(Err(_)) | AioResult::Sleep(_) => {
            context.recv(aio).unwrap_or_default();
        }
    }
}

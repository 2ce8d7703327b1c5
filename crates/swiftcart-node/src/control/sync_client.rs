//! Pulls state from another node over `nng` request/reply.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use nng::options::{Options, RecvMaxSize};
use nng::{Aio, AioResult, Context, Protocol, Socket};
use tokio::sync::oneshot;

use super::ControlError;

/// Largest accepted answer, in bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Longest wait for one step of a pull.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

type Answer = oneshot::Sender<Result<Vec<u8>, nng::Error>>;

/// Sends the sealed `request` to `peer` and returns its sealed answer.
///
/// # Errors
///
/// Fails when the peer cannot be reached or does not answer in time.
pub(super) async fn pull(peer: SocketAddr, request: Vec<u8>) -> Result<Vec<u8>, ControlError> {
    let (answer, result) = oneshot::channel();
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<RecvMaxSize>(ANSWER_BYTES)?;
    socket.dial_async(&format!("tcp://{peer}"))?;
    let context = Context::new(&socket)?;
    let own = context.clone();
    let answer = Mutex::new(Some(answer));
    let aio = Aio::new(move |aio, event| on_event(&aio, &own, &answer, event))?;
    aio.set_timeout(Some(STEP_TIMEOUT))?;
    context
        .send(&aio, request.as_slice())
        .map_err(|(_, e)| ControlError::Sync(e))?;
    let outcome = result.await;
    // Closing waits, so it may not run on this thread. The callback that told the outcome
    // may still run and hold a handle of its own; were that the last one, the callback
    // would wait for itself for ever, and all sockets of the process with it.
    tokio::task::spawn_blocking(move || {
        aio.wait();
        drop((aio, context, socket));
    });
    match outcome {
        Ok(answer) => Ok(answer?),
        Err(_) => Err(ControlError::Sync(nng::Error::Closed)),
    }
}

fn on_event(aio: &Aio, context: &Context, answer: &Mutex<Option<Answer>>, event: AioResult) {
    let result = match event {
        AioResult::Send(Ok(())) => match context.recv(aio) {
            Ok(()) => return,
            Err(e) => Err(e),
        },
        AioResult::Recv(Ok(message)) => Ok(message.as_slice().to_vec()),
        AioResult::Send(Err((_, e))) | AioResult::Recv(Err(e)) | AioResult::Sleep(Err(e)) => Err(e),
        AioResult::Sleep(Ok(())) => return,
    };
    if let Some(answer) = answer.lock().ok().and_then(|mut slot| slot.take()) {
        // The puller may have gone away; then nobody needs the answer.
        drop(answer.send(result));
    }
}

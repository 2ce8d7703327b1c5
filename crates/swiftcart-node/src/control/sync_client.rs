//! Client of state pulls, with one connection per pull.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{ControlError, frames};

/// Maximum length of an answer, in bytes. The core has the same limit for sealed messages.
const MAX_ANSWER_BYTES: usize = swiftcart_core::MAX_SYNC_LEN;
/// Timeout of a pull. The feed starts another pull after the same time.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the sealed `request` to `peer` and returns its sealed answer.
///
/// # Errors
///
/// Returns an error if the peer cannot be reached or does not answer in time.
pub(super) async fn pull(peer: SocketAddr, request: Vec<u8>) -> Result<Vec<u8>, ControlError> {
    match timeout(PULL_TIMEOUT, exchange(peer, &request)).await {
        Ok(answer) => answer,
        Err(_) => Err(ControlError::Timeout),
    }
}

async fn exchange(peer: SocketAddr, request: &[u8]) -> Result<Vec<u8>, ControlError> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    frames::write(&mut stream, request).await?;
    Ok(frames::read(&mut stream, MAX_ANSWER_BYTES).await?)
}

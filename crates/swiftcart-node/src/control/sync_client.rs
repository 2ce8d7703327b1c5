//! Pulls state from another node: one connection for each pull.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{ControlError, frames};

/// Longest answer that is accepted, in bytes; the core bounds sealed messages alike.
const MAX_ANSWER_BYTES: usize = swiftcart_core::MAX_SYNC_LEN;
/// Longest time for a pull; the feed starts another one after the same time.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the sealed `request` to `peer` and returns its sealed answer.
///
/// # Errors
///
/// Fails when the peer cannot be reached or does not answer in time.
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

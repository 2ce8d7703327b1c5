//! Framing of state pulls: a length in four bytes, then that many bytes.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads one frame of at most `bound` bytes.
///
/// # Errors
///
/// Returns an error if the stream ends or fails, and [`io::ErrorKind::InvalidData`] if the frame is
/// longer than `bound`.
pub(super) async fn read(stream: &mut TcpStream, bound: usize) -> io::Result<Vec<u8>> {
    let len = stream.read_u32().await? as usize;
    if len > bound {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; len];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

/// Writes the length of `frame`, then `frame`.
///
/// # Errors
///
/// Returns an error if the stream fails, and [`io::ErrorKind::InvalidInput`] if the length does not
/// fit in four bytes.
pub(super) async fn write(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    let len = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
    stream.write_u32(len).await?;
    stream.write_all(frame).await?;
    stream.flush().await
}

//! Clients: requests on connections to the node beside them.

use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::http::Reader;
use crate::mesh::HOST;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status.
    Answered(u16),
    /// The node ended the connection before the answer began.
    Closed,
    /// The node ended the connection within the answer.
    Cut(u16),
    /// The client left at its deadline.
    Left,
}

/// Request with its end.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub end: End,
    pub bytes: usize,
}

/// Connection of one client.
pub struct Client {
    reader: Reader,
    /// Counts the answers of which body bytes have arrived.
    pub begun: Arc<AtomicUsize>,
}

impl Client {
    pub fn connect(node: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: Reader::new(stream),
            begun: Arc::default(),
        })
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.stream.write_all(text.as_bytes())
    }

    /// Reads the answer to the request `id` until the client's deadline.
    pub fn answer(&mut self, id: &str, sent: Instant, deadline: Duration) -> Outcome {
        let mut bytes = 0;
        let mut status = 0;
        let result = self.read_answer(sent + deadline, &mut status, &mut bytes);
        let end = match result {
            Ok(()) => End::Answered(status),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::Left
            }
            Err(_) if status == 0 => End::Closed,
            Err(_) => End::Cut(status),
        };
        let ended = Instant::now();
        let id = id.to_owned();
        Outcome {
            id,
            sent,
            ended,
            end,
            bytes,
        }
    }

    fn read_answer(
        &mut self,
        until: Instant,
        status: &mut u16,
        bytes: &mut usize,
    ) -> io::Result<()> {
        self.reader.until = Some(until);
        let head = self.reader.head()?.ok_or(ErrorKind::UnexpectedEof)?;
        *status = head.status();
        let begun = Arc::clone(&self.begun);
        self.reader.body(&head, |piece| {
            if *bytes == 0 {
                begun.fetch_add(1, Ordering::Relaxed);
            }
            *bytes += piece.len();
        })
    }
}

/// Returns a request without a body.
pub fn get(path: &str, id: &str, deadline: Duration) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-swiftcart-attempt-id: {id}\r\n\
         x-swiftcart-deadline-ms: {}\r\n\r\n",
        deadline.as_millis()
    )
}

//! Stand-in of a client.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Message, Reader};

/// Time after which a client gives up a read.
const PATIENCE: Duration = Duration::from_secs(8);

/// Kept connection of a client.
pub struct Client {
    pub socket: TcpStream,
    reader: Reader,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(PATIENCE))?;
        let reader = Reader::new(socket.try_clone()?);
        Ok(Self { socket, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Reads the next answer; `None` if the connection ended before its first byte.
    pub fn answer(&mut self) -> io::Result<Option<Message>> {
        self.reader.message()
    }
}

/// Returns the head of a request without a body.
pub fn get(host: &str, path: &str, id: &str, deadline_ms: u32) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Swiftcart-Attempt-Id: {id}\r\n\
         X-Swiftcart-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Describes an answer for the record.
pub fn describe(answer: &io::Result<Option<Message>>) -> String {
    match answer {
        Ok(Some(answer)) => {
            let signature = answer.field("x-swiftcart-response-signature").unwrap_or("none");
            let connection = answer.field("connection").unwrap_or("-");
            let id = answer.field("x-swiftcart-attempt-id").unwrap_or("-");
            let first = &answer.first;
            format!("{first}, id {id}, signature {signature}, Connection: {connection}")
        }
        Ok(None) => "no answer: the connection was closed".into(),
        Err(err) => format!("no answer: {err}"),
    }
}

/// Makes one call on a connection of its own, and returns the status.
pub fn call(addr: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<u16> {
    let socket = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut reader = Reader::new(socket.try_clone()?);
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&socket).write_all(head.as_bytes())?;
    let answer = reader.message()?;
    let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = answer.word(1).parse();
    status.map_err(|_| io::ErrorKind::InvalidData.into())
}

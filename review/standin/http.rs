//! Reading of HTTP/1.1 messages from a socket.

use std::io::{self, Read};
use std::net::TcpStream;

/// Head of a request or response, with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub first: String,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the header field `name`, given in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word at `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

/// Buffered reader of messages.
pub struct Reader {
    socket: TcpStream,
    bytes: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            bytes: Vec::new(),
        }
    }

    /// Reads the next message; `None` if the connection ended before its first byte.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.bytes, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return match self.bytes.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head: Vec<u8> = self.bytes.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let first = lines.next().unwrap_or("").to_owned();
        let field = |line: &str| {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            (name.trim().to_lowercase(), value.trim().to_owned())
        };
        let mut message = Message {
            first,
            fields: lines.map(field).collect(),
            body: Vec::new(),
        };
        message.body = self.body(&message)?;
        Ok(Some(message))
    }

    fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.field("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let len = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(len)?;
                self.line()?;
                if len == 0 {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let len = head.field("content-length").and_then(|len| len.parse().ok());
        self.take(len.unwrap_or(0))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.bytes, b"\r\n") {
                let line: Vec<u8> = self.bytes.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.need()?;
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < len {
            self.need()?;
        }
        Ok(self.bytes.drain(..len).collect())
    }

    fn need(&mut self) -> io::Result<()> {
        match self.fill()? {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 16384];
        let len = self.socket.read(&mut buf)?;
        self.bytes.extend_from_slice(&buf[..len]);
        Ok(len > 0)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|part| part == what)
}

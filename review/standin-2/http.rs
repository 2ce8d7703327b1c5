//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Request or response head with lower-case header names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

/// Buffered reader of messages on one connection.
pub struct Reader {
    pub stream: TcpStream,
    bytes: Vec<u8>,
    /// Time at which reading ends.
    pub until: Option<Instant>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.line.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
            until: None,
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buf = [0; 16384];
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        match self.stream.read(&mut buf)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            len => {
                self.bytes.extend_from_slice(&buf[..len]);
                Ok(())
            }
        }
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            match self.fill() {
                Ok(()) => {}
                Err(err) if err.kind() == io::ErrorKind::UnexpectedEof && self.bytes.is_empty() => {
                    return Ok(None);
                }
                Err(err) => return Err(err),
            }
        };
        let text: Vec<u8> = self.bytes.drain(..end).collect();
        let text = String::from_utf8_lossy(&text).into_owned();
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers = pairs.map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head {
            line,
            headers: headers.collect(),
        }))
    }

    /// Takes at least one byte, and at most `most`.
    pub fn some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.bytes.is_empty() {
            self.fill()?;
        }
        let len = most.min(self.bytes.len());
        Ok(self.bytes.drain(..len).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.bytes.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.bytes.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body that `head` announces. `on_bytes` is called with each piece.
    pub fn body(&mut self, head: &Head, mut on_bytes: impl FnMut(&[u8])) -> io::Result<()> {
        if head
            .get("transfer-encoding")
            .is_some_and(|te| te.eq_ignore_ascii_case("chunked"))
        {
            loop {
                let line = self.text_line()?;
                let len = line.split(';').next().unwrap_or("").trim().to_owned();
                let len = usize::from_str_radix(&len, 16);
                let len = len.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let mut left = len;
                while left > 0 {
                    let piece = self.some(left)?;
                    left -= piece.len();
                    on_bytes(&piece);
                }
                if len == 0 {
                    while !self.text_line()?.is_empty() {}
                    return Ok(());
                }
                self.text_line()?;
            }
        }
        let mut left = head
            .get("content-length")
            .and_then(|len| len.parse().ok())
            .unwrap_or(0);
        while left > 0 {
            let piece = self.some(left)?;
            left -= piece.len();
            on_bytes(&piece);
        }
        Ok(())
    }

    pub fn whole_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.body(head, |piece| body.extend_from_slice(piece))?;
        Ok(body)
    }
}

/// Sends one request on a new connection and returns the response.
pub fn call(addr: SocketAddr, request: &str, limit: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = reader.whole_body(&head)?;
    Ok((head, body))
}

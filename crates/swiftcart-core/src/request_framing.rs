//! Framing of the requests on one connection: where each head begins and ends.
//!
//! A node starts a request early only if it knows that the bytes are a head and no part of a body.
//! [`RequestFraming`] follows the stream from its first byte. The position is known as long as every
//! head and body so far had one of these forms, on which all readers of HTTP/1.1 agree:
//!
//! - a head of at most 8 KiB and 64 fields, of version 1.1, with a method other than `CONNECT`;
//! - no body, a body with one decimal `Content-Length`, or one in chunks without extensions and
//!   trailers;
//! - no `Expect`, since the caller may leave the body out.
//!
//! After anything else the position is unknown until the end of the connection, whatever follows.

use std::borrow::Cow;

use crate::HeadKind;

/// Maximum length of a head that is followed, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Maximum number of header fields in a head that is followed.
const MAX_HEAD_FIELDS: usize = 64;

/// Maximum number of digits in the length of a chunk.
const MAX_CHUNK_DIGITS: u8 = 8;

/// Reader that follows the framing of the requests on one connection.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{HeadKind, RequestFraming};
///
/// let mut framing = RequestFraming::default();
/// let mut bytes = &b"POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nGETGET /b HTTP/1.1\r\n\r\n"[..];
/// let first = framing.next_head(&mut bytes).expect("a head");
/// assert_eq!(first.kind, HeadKind::WithBody);
/// let second = framing.next_head(&mut bytes).expect("a head");
/// assert_eq!(&second.bytes[..], b"GET /b HTTP/1.1\r\n\r\n");
/// assert!(framing.next_head(&mut bytes).is_none());
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestFraming {
    position: Position,
    /// Bytes of an incomplete head.
    partial: Vec<u8>,
}

/// Head of a request in the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScannedHead<'a> {
    /// Bytes of the head, with the empty line at its end.
    pub bytes: Cow<'a, [u8]>,
    /// What the head says about the connection.
    pub kind: HeadKind,
}

/// Position of the next byte.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// In a head.
    #[default]
    Head,
    /// In a body with this number of bytes left.
    Body(u64),
    /// In a body in chunks.
    Chunked(ChunkPosition),
    /// Unknown until the end of the connection.
    Unknown,
}

/// Position of the next byte in a body in chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkPosition {
    /// In the length of a chunk, of which this many digits have been read.
    Length { length: u64, digits: u8 },
    /// Before the line feed behind the length.
    LengthEnd(u64),
    /// In the data of a chunk, with this number of bytes left.
    Data(u64),
    /// Before the carriage return behind the data.
    DataReturn,
    /// Before the line feed behind the data.
    DataEnd,
    /// Before the carriage return that ends the body.
    LastReturn,
    /// Before the line feed that ends the body.
    LastEnd,
}

/// Body that a head announces.
enum BodyFraming {
    Length(u64),
    Chunked,
}

/// Result of reading a head.
enum HeadScan {
    Partial,
    Unknown,
    Whole {
        len: usize,
        body: BodyFraming,
        is_last: bool,
    },
}

impl RequestFraming {
    /// Returns the next head that ends in `bytes`, and removes the bytes up to its end.
    ///
    /// Returns `None` when all bytes are read.
    pub fn next_head<'a>(&mut self, bytes: &mut &'a [u8]) -> Option<ScannedHead<'a>> {
        while !bytes.is_empty() {
            match self.position {
                Position::Head => {
                    if let Some(head) = self.read_head(bytes) {
                        return Some(head);
                    }
                }
                Position::Body(left) => {
                    self.position = match skip(bytes, left) {
                        0 => Position::Head,
                        left => Position::Body(left),
                    };
                }
                Position::Chunked(position) => self.position = position.read(bytes),
                Position::Unknown => *bytes = &[],
            }
        }
        None
    }

    /// Returns `true` if a part of a head has been read.
    #[must_use]
    pub const fn is_in_head(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns `true` if the position in the stream is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.position != Position::Unknown
    }

    /// Makes the position unknown until the end of the connection.
    pub fn give_up(&mut self) {
        self.position = Position::Unknown;
        self.partial = Vec::new();
    }

    fn read_head<'a>(&mut self, bytes: &mut &'a [u8]) -> Option<ScannedHead<'a>> {
        let before = self.partial.len();
        let mut head: Cow<'a, [u8]> = Cow::Borrowed(bytes);
        if before > 0 {
            self.partial.extend_from_slice(bytes);
            head = Cow::Owned(std::mem::take(&mut self.partial));
        }
        match scan_head(&head) {
            HeadScan::Partial if head.len() <= MAX_HEAD_BYTES => {
                self.partial = head.into_owned();
                *bytes = &[];
                None
            }
            HeadScan::Whole { len, body, is_last } if len <= MAX_HEAD_BYTES => {
                *bytes = &bytes[len - before..];
                let has_body = !matches!(body, BodyFraming::Length(0));
                self.position = body.position();
                let bytes = match head {
                    Cow::Borrowed(all) => Cow::Borrowed(&all[..len]),
                    Cow::Owned(mut all) => {
                        all.truncate(len);
                        Cow::Owned(all)
                    }
                };
                let kind = match (is_last, has_body) {
                    (true, _) => HeadKind::Last,
                    (false, true) => HeadKind::WithBody,
                    (false, false) => HeadKind::Plain,
                };
                Some(ScannedHead { bytes, kind })
            }
            HeadScan::Partial | HeadScan::Unknown | HeadScan::Whole { .. } => {
                self.give_up();
                *bytes = &[];
                None
            }
        }
    }
}

impl BodyFraming {
    /// Returns the position behind the head.
    const fn position(&self) -> Position {
        match self {
            Self::Length(0) => Position::Head,
            Self::Length(length) => Position::Body(*length),
            Self::Chunked => Position::Chunked(ChunkPosition::START),
        }
    }
}

impl ChunkPosition {
    const START: Self = Self::Length {
        length: 0,
        digits: 0,
    };

    /// Reads at least one byte and returns the position behind it.
    fn read(self, bytes: &mut &[u8]) -> Position {
        if let Self::Data(left) = self {
            return Position::Chunked(match skip(bytes, left) {
                0 => Self::DataReturn,
                left => Self::Data(left),
            });
        }
        let Some((byte, rest)) = bytes.split_first() else {
            return Position::Chunked(self);
        };
        *bytes = rest;
        let next = match (self, *byte) {
            (Self::Length { length, digits }, byte)
                if byte.is_ascii_hexdigit() && digits < MAX_CHUNK_DIGITS =>
            {
                Self::Length {
                    length: length * 16 + hex_value(byte),
                    digits: digits + 1,
                }
            }
            (
                Self::Length {
                    length,
                    digits: 1..,
                },
                b'\r',
            ) => Self::LengthEnd(length),
            (Self::LengthEnd(0), b'\n') => Self::LastReturn,
            (Self::LengthEnd(length), b'\n') => Self::Data(length),
            (Self::DataReturn, b'\r') => Self::DataEnd,
            (Self::DataEnd, b'\n') => Self::START,
            (Self::LastReturn, b'\r') => Self::LastEnd,
            (Self::LastEnd, b'\n') => return Position::Head,
            _ => return Position::Unknown,
        };
        Position::Chunked(next)
    }
}

/// Removes up to `left` bytes, and returns how many are left to remove.
fn skip(bytes: &mut &[u8], left: u64) -> u64 {
    let len = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    *bytes = &bytes[len..];
    left - len as u64
}

fn hex_value(digit: u8) -> u64 {
    char::from(digit).to_digit(16).unwrap_or(0).into()
}

/// Reads the head at the beginning of `bytes`.
fn scan_head(bytes: &[u8]) -> HeadScan {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let len = match head.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return HeadScan::Partial,
        Err(_) => return HeadScan::Unknown,
    };
    let is_followed = head.version == Some(1) && head.method != Some("CONNECT");
    match body_framing(head.headers).filter(|_| is_followed) {
        Some(body) => HeadScan::Whole {
            len,
            body,
            is_last: is_last(head.headers),
        },
        None => HeadScan::Unknown,
    }
}

/// Returns the framing of the body, or `None` if readers may disagree about it.
fn body_framing(fields: &[httparse::Header<'_>]) -> Option<BodyFraming> {
    let mut body = None;
    for field in fields {
        let is = |name: &str| field.name.eq_ignore_ascii_case(name);
        let framing = match field.value {
            _ if is("expect") || is("upgrade") => return None,
            value if is("transfer-encoding") => {
                let is_chunked = value.eq_ignore_ascii_case(b"chunked");
                is_chunked.then_some(BodyFraming::Chunked)?
            }
            value if is("content-length") => BodyFraming::Length(decimal(value)?),
            _ => continue,
        };
        if body.replace(framing).is_some() {
            return None;
        }
    }
    Some(body.unwrap_or(BodyFraming::Length(0)))
}

/// Parses a number that consists of digits only.
fn decimal(text: &[u8]) -> Option<u64> {
    let digits = text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits)?;
    text.parse().ok()
}

/// Returns `true` if the caller announces that it sends no further request on the connection.
fn is_last(fields: &[httparse::Header<'_>]) -> bool {
    let named = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case("connection"));
    named
        .flat_map(|field| field.value.split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};

/// Record of a keyed topic.
#[derive(Clone)]
struct Entry {
    key: Vec<u8>,
    value: Vec<u8>,
}

/// Topics by name; the index of an entry is its offset.
type Topics = HashMap<String, Vec<Entry>>;

/// Store that serves until the process ends.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    /// Starts a store at `addr`.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let store = Self {
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(socket)));
            }
        });
        Ok(store)
    }

    /// Writes the record `key` of `topic`.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let entry = Entry {
            key: key.into(),
            value: value.into(),
        };
        let mut topics = self.state.0.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(entry);
        self.state.1.notify_all();
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = Reader::new(socket.try_clone()?);
        while let Some(request) = reader.message()? {
            let (status, body) = self.answer(&request);
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
            socket.write_all(&[head.as_bytes(), &body].concat())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        match path {
            "/v1/log-append" => self.append(topic, number("storeRevision"), &request.body),
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                self.read(topic, number("from").unwrap_or(0), wait)
            }
            "/v1/log-newest" => self.newest(topic),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.state.0.lock().unwrap();
        let entries = topics.entry(topic.to_owned()).or_default();
        let offset = entries.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into());
        }
        while body.len() >= 4 {
            let len = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let (record, rest) = body[4..].split_at(len);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            entries.push(Entry {
                key: key.into(),
                value: value.into(),
            });
            body = rest;
        }
        let end = entries.len();
        self.state.1.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut topics = self.state.0.lock().unwrap();
        loop {
            let entries = topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if entries.len() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((entries.len() as u64).to_be_bytes());
                body.extend(0_u64.to_be_bytes());
                for entry in entries.iter().skip(from) {
                    let len = 1 + entry.key.len() + entry.value.len();
                    body.extend((len as u32).to_be_bytes());
                    body.push(entry.key.len() as u8);
                    body.extend(&entry.key);
                    body.extend(&entry.value);
                }
                return (200, body);
            }
            topics = self.state.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let topics = self.state.0.lock().unwrap();
        let entries = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, entry) in entries.iter().enumerate() {
            match entry.value.is_empty() {
                true => drop(newest.remove(&entry.key)),
                false => drop(newest.insert(&entry.key, (offset, &entry.value))),
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), entries.len());
        let text = format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}");
        (200, text.into())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

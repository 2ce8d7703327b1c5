//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};

/// Record of a keyed topic: key and value.
type Keyed = (Vec<u8>, Vec<u8>);

/// Running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    data: Arc<Data>,
}

#[derive(Default)]
struct Data {
    topics: Mutex<BTreeMap<String, Vec<Keyed>>>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let data = Arc::new(Data::default());
        let shared = Arc::clone(&data);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let data = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &data));
            }
        });
        Ok(Self { addr, data })
    }

    /// Appends a record as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.data.topics.lock().unwrap();
        let topic = topics.entry(topic.into()).or_default();
        topic.push((key.as_bytes().to_vec(), value.to_vec()));
        self.data.changed.notify_all();
    }
}

fn serve(stream: TcpStream, data: &Data) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(Some(head)) = reader.head() {
        let Ok(body) = reader.whole_body(&head) else {
            return;
        };
        let (status, kind, answer) = answer(&head, &body, data);
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        let sent = reader.stream.write_all(text.as_bytes());
        if sent
            .and_then(|()| reader.stream.write_all(&answer))
            .is_err()
        {
            return;
        }
    }
}

fn query(head: &Head, name: &str) -> Option<String> {
    let (_, target) = head.target();
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}

fn answer(head: &Head, body: &[u8], data: &Data) -> (u16, &'static str, Vec<u8>) {
    let (_, target) = head.target();
    let topic = query(head, "topic").unwrap_or_default();
    let json = |text: String| (200, "application/json", text.into_bytes());
    match target.split('?').next().unwrap_or("") {
        "/v1/log-append" => {
            let mut topics = data.topics.lock().unwrap();
            let records = topics.entry(topic).or_default();
            let end = records.len();
            if query(head, "storeRevision").is_some_and(|at| at != end.to_string()) {
                let text = format!("{{\"end\":{end}}}");
                return (412, "application/json", text.into_bytes());
            }
            records.extend(split(body));
            let text = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
            data.changed.notify_all();
            json(text)
        }
        "/v1/log-read" => {
            let number = |name| query(head, name).and_then(|v| v.parse::<u64>().ok());
            let from = number("from").unwrap_or(0) as usize;
            let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
            let most = number("maxKb").unwrap_or(1024) as usize * 1024;
            let mut topics = data.topics.lock().unwrap();
            loop {
                let len = topics.get(&topic).map_or(0, Vec::len);
                let now = Instant::now();
                if len > from || now >= until {
                    break;
                }
                topics = data.changed.wait_timeout(topics, until - now).unwrap().0;
            }
            let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
            let mut page = (records.len() as u64).to_be_bytes().to_vec();
            page.extend(0u64.to_be_bytes());
            for (n, (key, value)) in records.iter().skip(from).enumerate() {
                let len = 1 + key.len() + value.len();
                if n > 0 && page.len() + len > most {
                    break;
                }
                page.extend((len as u32).to_be_bytes());
                page.push(key.len() as u8);
                page.extend(key);
                page.extend(value);
            }
            (200, "application/octet-stream", page)
        }
        "/v1/log-newest" => {
            let after = query(head, "after").unwrap_or_default();
            let topics = data.topics.lock().unwrap();
            let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
            let mut newest = BTreeMap::new();
            for (offset, (key, value)) in records.iter().enumerate() {
                newest.insert(key.clone(), (offset, value.clone()));
            }
            let items: Vec<String> = newest
                .iter()
                .filter(|(key, (_, value))| !value.is_empty() && key.as_slice() > after.as_bytes())
                .map(|(key, (offset, value))| {
                    let (key, value) = (String::from_utf8_lossy(key), base64(value));
                    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                })
                .collect();
            json(format!(
                "{{\"items\":[{}],\"truncated\":false,\"end\":{}}}",
                items.join(","),
                records.len()
            ))
        }
        _ => (404, "text/plain", Vec::new()),
    }
}

/// Splits the body of an append into keyed records.
fn split(mut body: &[u8]) -> Vec<Keyed> {
    let mut records = Vec::new();
    while body.len() >= 5 {
        let len = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let content = &body[4..4 + len];
        let key = usize::from(content[0]);
        records.push((content[1..=key].to_vec(), content[1 + key..].to_vec()));
        body = &body[4 + len..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

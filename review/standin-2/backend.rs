//! Stand-in of a backend server: it echoes ids, signs what it ran, and sends heartbeats.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{Head, Reader, call};
use crate::record::Record;

/// Interval of heartbeats, as in the settings of the nodes.
const BEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// Slots of each backend server.
const SLOTS: u32 = 12;

/// How a backend server answers.
#[derive(Clone, Copy)]
pub struct Work {
    /// Time before the head of the answer.
    pub time: Duration,
    /// Length of the answer's body.
    pub bytes: usize,
    /// Time over which a long body is sent.
    pub spread: Duration,
}

/// Running backend server.
#[derive(Clone)]
pub struct Backend(Arc<Inner>);

struct Inner {
    pub addr: SocketAddr,
    id: String,
    service: String,
    zone: String,
    work: Work,
    seq: AtomicU64,
    /// Ids of the requests that ran.
    runs: Mutex<Vec<String>>,
    times: Mutex<Vec<Instant>>,
    /// Target of the requests that crash the backend server, if there is one.
    deadly: Option<&'static str>,
    has_crashed: AtomicBool,
    silent: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Backend {
    /// Starts the backend server beside the node at `ip`.
    pub fn start(
        record: &Record,
        ip: &str,
        id: &str,
        zone: &str,
        service: &str,
        work: Work,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        Self::serve_on(record, listener, id, zone, service, work, None)
    }

    /// Starts the backend server on `listener`. A request for the target `deadly` crashes it.
    pub fn serve_on(
        record: &Record,
        listener: TcpListener,
        id: &str,
        zone: &str,
        service: &str,
        work: Work,
        deadly: Option<&'static str>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let backend = Self(Arc::new(Inner {
            addr: listener.local_addr()?,
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            work,
            seq: AtomicU64::new(0),
            runs: Mutex::default(),
            times: Mutex::default(),
            deadly,
            has_crashed: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
        }));
        let shared = backend.clone();
        thread::spawn(move || {
            while !shared.has_crashed() {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let backend = shared.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        Ok(backend)
    }

    /// Stops the heartbeats of [`Backend::beat_to`].
    pub fn stop_beats(&self) {
        self.0.silent.store(true, Ordering::Relaxed);
    }

    /// Deregisters the backend server and returns the status of the answer.
    pub fn leave(&self, control: SocketAddr) -> io::Result<u16> {
        let request = format!(
            "DELETE /v1/backend/{} HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n\r\n",
            self.0.id
        );
        let (head, _) = call(control, &request, Duration::from_secs(1))?;
        Ok(head.status())
    }

    /// Ends the backend server: nobody listens, and all connections are closed.
    pub fn exit(&self) {
        self.crash();
    }

    pub fn has_crashed(&self) -> bool {
        self.0.has_crashed.load(Ordering::Relaxed)
    }

    /// Ends the backend server as a crash does: nobody listens, and all connections are closed.
    fn crash(&self) {
        self.0.has_crashed.store(true, Ordering::Relaxed);
        for stream in self.0.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sends heartbeats to the node at `control` until the backend server crashes.
    pub fn beat_to(&self, control: SocketAddr) {
        let backend = self.clone();
        thread::spawn(move || {
            while !backend.has_crashed() && !backend.0.silent.load(Ordering::Relaxed) {
                let _ = backend.beat(control, "ready");
                sleep(BEAT_INTERVAL);
            }
        });
    }

    /// Sends one heartbeat and returns the status of its answer.
    pub fn beat(&self, control: SocketAddr, state: &str) -> io::Result<u16> {
        self.deliver(control, &self.heartbeat(state))
    }

    /// Returns the next heartbeat as it is sent.
    pub fn heartbeat(&self, state: &str) -> String {
        let seq = self.0.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let Inner {
            addr,
            id,
            service,
            zone,
            ..
        } = &*self.0;
        let body = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"domain\":\"{zone}\",\
             \"release\":\"v1\",\"slots\":{SLOTS},\"readiness\":\"{state}\",\"warmup_ms\":0,\
             \"seq\":{seq}}}"
        );
        format!(
            "PUT /v1/backend/{id} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Delivers a heartbeat and returns the status of its answer.
    pub fn deliver(&self, control: SocketAddr, heartbeat: &str) -> io::Result<u16> {
        let (head, _) = call(control, heartbeat, Duration::from_secs(1))?;
        Ok(head.status())
    }

    /// Returns the times at which requests began to run.
    pub fn times(&self) -> Vec<Instant> {
        self.0.times.lock().unwrap().clone()
    }

    /// Returns the ids of the requests that ran.
    pub fn runs(&self) -> Vec<String> {
        self.0.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.0.open.lock().unwrap().push(copy);
        }
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            // A request that does not arrive whole is not run.
            let Ok(body) = reader.whole_body(&head) else {
                return;
            };
            if self.answer(&mut reader.stream, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<()> {
        let Inner {
            id: own,
            work,
            record,
            ..
        } = &*self.0;
        let id = head.get("x-swiftcart-attempt-id").unwrap_or("").to_owned();
        if head
            .get("x-swiftcart-target-instance")
            .is_some_and(|target| target != own)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-swiftcart-instance-id: {own}\r\n\
                 x-swiftcart-attempt-id: {id}\r\nx-swiftcart-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        let (_, target) = head.target();
        record.line(&format!(
            "server {own} runs {id} {target}, body of {} bytes",
            body.len()
        ));
        self.0.runs.lock().unwrap().push(id.clone());
        self.0.times.lock().unwrap().push(Instant::now());
        if self.0.deadly == Some(target) {
            sleep(work.time / 2);
            record.line(&format!("server {own} crashes under {id}"));
            self.crash();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        sleep(work.time);
        if self.has_crashed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-swiftcart-attempt-id: {id}\r\n\
             x-swiftcart-response-signature: {own}.{id}\r\nx-swiftcart-server-load: 1,0,{SLOTS}\r\n\
             content-length: {}\r\n\r\n",
            work.bytes
        );
        stream.write_all(text.as_bytes())?;
        let pieces = if work.spread.is_zero() { 1 } else { 32 };
        let piece = vec![b'x'; work.bytes.div_ceil(pieces)];
        let mut left = work.bytes;
        while left > 0 {
            let len = left.min(piece.len());
            stream.write_all(&piece[..len])?;
            left -= len;
            if pieces > 1 && left > 0 {
                sleep(work.spread / pieces as u32);
            }
        }
        record.line(&format!("server {own} has answered {id}"));
        Ok(())
    }
}

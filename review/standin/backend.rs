//! Stand-in of a backend.

use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::http::{Message, Reader};
use crate::record::Record;

/// Slots that a backend announces.
const SLOTS: u32 = 12;

/// Request that a backend began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    /// Time of the start, in seconds of the record.
    pub at: f64,
    pub id: String,
    pub line: String,
    pub body_len: usize,
}

/// Backend that has no room at the first arrival of some requests.
struct Full {
    fits: fn(&str) -> bool,
    seen: HashSet<String>,
}

/// Fault by which a backend hands out some of its rejections a second time.
#[derive(Default)]
struct Extra {
    /// Largest share of all answers that are handed out twice.
    share: f64,
    answers: u32,
    repeated: u32,
}

impl Extra {
    /// Counts an answer, and returns `true` if it is handed out a second time.
    fn repeats(&mut self, is_rejection: bool) -> bool {
        self.answers += 1;
        let repeats = is_rejection && f64::from(self.repeated + 1) <= self.share * f64::from(self.answers);
        self.repeated += u32::from(repeats);
        repeats
    }
}

/// Backend that serves and sends heartbeats until the process ends.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    control: SocketAddr,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    seq: Arc<AtomicU64>,
    beating: Arc<AtomicBool>,
    /// Rejections, if this backend is full at times.
    full: Arc<Mutex<Option<Full>>>,
    /// Second answers, while this backend is faulty.
    extra: Arc<Mutex<Option<Extra>>>,
}

impl Backend {
    /// Starts a backend of `service`, which sends its heartbeats to `control`.
    pub fn start(
        id: &str,
        addr: SocketAddr,
        service: &str,
        zone: &str,
        control: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let backend = Self {
            id: id.into(),
            addr,
            service: service.into(),
            zone: zone.into(),
            control,
            record: record.clone(),
            runs: Arc::default(),
            seq: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            full: Arc::default(),
            extra: Arc::default(),
        };
        let serving = backend.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let backend = serving.clone();
                thread::spawn(move || drop(backend.serve(socket)));
            }
        });
        let beating = backend.clone();
        thread::spawn(move || beating.beat());
        Ok(backend)
    }

    /// Returns the requests that this backend began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// From now on, rejects the first arrival of each request whose id fits.
    pub fn reject_first(&self, fits: fn(&str) -> bool) {
        let seen = HashSet::new();
        *self.full.lock().unwrap() = Some(Full { fits, seen });
    }

    /// Ends the rejections.
    pub fn accept_all(&self) {
        *self.full.lock().unwrap() = None;
    }

    /// Begins to hand out rejections a second time, but at most this share of all answers.
    ///
    /// The second answer comes late: when the next answer is expected on the connection.
    pub fn begin_extra(&self, share: f64) {
        *self.extra.lock().unwrap() = Some(Extra {
            share,
            ..Extra::default()
        });
    }

    /// Ends the fault, and returns the numbers of answers and of second answers.
    pub fn end_extra(&self) -> (u32, u32) {
        let extra = self.extra.lock().unwrap().take().unwrap_or_default();
        (extra.answers, extra.repeated)
    }

    /// Stops the heartbeats.
    pub fn stop_beating(&self) {
        self.beating.store(false, Ordering::SeqCst);
    }

    /// Returns the next sequence number of a heartbeat.
    pub fn next_seq(&self) -> u64 {
        self.seq.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Sends a heartbeat with sequence number `seq`, and returns the status of the answer.
    pub fn send_beat(&self, seq: u64, readiness: &str) -> io::Result<u16> {
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"domain\":\"{}\",\"release\":\"v1\",\
             \"slots\":{SLOTS},\"readiness\":\"{readiness}\",\"warmup_ms\":0,\"seq\":{seq}}}",
            self.service, self.addr, self.zone
        );
        let target = format!("/v1/backend/{}", self.id);
        client::call(self.control, "PUT", &target, &body)
    }

    /// Deregisters this backend, and returns the status of the answer.
    pub fn deregister(&self) -> io::Result<u16> {
        let target = format!("/v1/backend/{}", self.id);
        client::call(self.control, "DELETE", &target, "")
    }

    fn beat(&self) {
        while self.beating.load(Ordering::SeqCst) {
            drop(self.send_beat(self.next_seq(), "ready"));
            thread::sleep(Duration::from_millis(870));
        }
    }

    fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = Reader::new(socket.try_clone()?);
        let mut extra: Option<Vec<u8>> = None;
        while let Some(request) = reader.message()? {
            if let Some(extra) = extra.take() {
                self.record.add(format!("backend {} sends the last answer a second time", self.id));
                socket.write_all(&extra)?;
            }
            let answer = self.answer(&mut socket, &request)?;
            socket.write_all(&answer)?;
            let is_rejection = answer.starts_with(b"HTTP/1.1 503");
            let mut fault = self.extra.lock().unwrap();
            let repeats = fault.as_mut().is_some_and(|fault| fault.repeats(is_rejection));
            extra = repeats.then_some(answer);
        }
        Ok(())
    }

    /// Returns the answer to a request, after the work on it.
    fn answer(&self, socket: &mut TcpStream, request: &Message) -> io::Result<Vec<u8>> {
        let id = request.field("x-swiftcart-attempt-id").unwrap_or("-");
        let target = request.field("x-swiftcart-target-instance");
        if target.is_some_and(|target| target != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-swiftcart-attempt-id: {id}\r\n\
                 x-swiftcart-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            );
            return Ok(head.into());
        }
        let is_full = |full: &mut Full| {
            (full.fits)(id) && full.seen.insert(id.into())
        };
        if self.full.lock().unwrap().as_mut().is_some_and(is_full) {
            self.record.add(format!("backend {} rejects {id}: 503, not executed", self.id));
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nx-swiftcart-attempt-id: {id}\r\n\
                 x-swiftcart-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return Ok(head.into());
        }
        self.run(socket, request, id)
    }

    /// Runs a request for as many milliseconds as its path says (`/w900`), or for 20.
    fn run(&self, socket: &mut TcpStream, request: &Message, id: &str) -> io::Result<Vec<u8>> {
        let line = format!("{} {}", request.word(0), request.word(1));
        let caller = request.field("x-swiftcart-caller-service").unwrap_or("-");
        self.record.add(format!(
            "backend {} runs {id}: {line}, body of {} bytes, caller {caller}",
            self.id,
            request.body.len()
        ));
        self.runs.lock().unwrap().push(Run {
            at: self.record.now(),
            id: id.into(),
            line: line.clone(),
            body_len: request.body.len(),
        });
        let work = line.rsplit_once("/w").and_then(|(_, ms)| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(work.unwrap_or(20));
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            if has_closed(socket) {
                self.record.add(format!(
                    "backend {} drops {id}: its connection was closed while it was at work",
                    self.id
                ));
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        let body = format!("answer of {} to {id}\n", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-swiftcart-attempt-id: {id}\r\n\
             x-swiftcart-response-signature: sig.{}.{id}\r\nx-swiftcart-server-load: 1,0,{SLOTS}\r\n\
             keep-alive: timeout=10\r\ncontent-length: {}\r\n\r\n",
            self.id,
            body.len()
        );
        self.record.add(format!("backend {} answers {id}: 200", self.id));
        Ok([head.as_bytes(), body.as_bytes()].concat())
    }
}

/// Returns `true` if the other side has closed the connection.
fn has_closed(socket: &TcpStream) -> bool {
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match socket.peek(&mut [0]) {
        Ok(len) => len == 0,
        Err(err) => err.kind() != io::ErrorKind::WouldBlock,
    };
    closed || socket.set_nonblocking(false).is_err()
}

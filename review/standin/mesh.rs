//! Small deployment: a store, and machines that each have a process and a backend.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use crate::backend::Backend;
use crate::node::{Node, Ports};
use crate::record::Record;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "mesh.example";
/// Service of the idempotent route `/read/`.
pub const READS: &str = "sensor-hub";
/// Service of the route `/book/`, which is not idempotent.
pub const BOOKS: &str = "irrigation-desk";

/// Time within which the mesh has to be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Small deployment, whose processes end when it is dropped.
pub struct Mesh {
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    folder: PathBuf,
}

impl Mesh {
    /// Starts machines for the backends of `services`, and waits until they are ready.
    pub fn start(services: &[&str], record: &Record) -> io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder)?;
        let ip = |host: usize| {
            IpAddr::V4(Ipv4Addr::new(
                127,
                64 + (pid >> 8 & 63) as u8,
                (pid & 255) as u8,
                10 + host as u8,
            ))
        };
        let ports = free_ports(ip(0), pid)?;
        let store_addr = SocketAddr::new(ip(0), ports.backend);
        let store = Store::start(store_addr)?;
        store.put("keyed.op", "config", &config(1));
        let mut mesh = Self {
            nodes: Vec::new(),
            backends: Vec::new(),
            folder: folder.clone(),
        };
        for (index, service) in services.iter().enumerate() {
            let zone = ["zone-a", "zone-b"][index % 2];
            let name = format!("machine-{}", index + 1);
            let place = (ip(index + 1), ports);
            let mut node = Node::new(&name, place, (zone, service), store_addr, &folder, record)?;
            node.start()?;
            mesh.nodes.push(node);
        }
        for node in &mesh.nodes {
            node.wait_ready(START_LIMIT)?;
        }
        for (index, service) in services.iter().enumerate() {
            let node = &mesh.nodes[index];
            let zone = ["zone-a", "zone-b"][index % 2];
            let id = format!("i-{}", index + 1);
            let addr = node.addr(ports.backend);
            let backend = Backend::start(&id, addr, service, zone, node.control(), record)?;
            mesh.backends.push(backend);
        }
        std::thread::sleep(Duration::from_secs(2));
        record.add("all machines are ready, all backends have announced themselves");
        Ok(mesh)
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.nodes.clear();
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns the configuration with this version.
fn config(version: u32) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":500,\
             \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":130,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let routes = [
        route("read", "idempotent", READS, 2500),
        route("book", "non_idempotent", BOOKS, 3000),
    ];
    let services = [service(READS), service(BOOKS)];
    format!(
        "{{\"release\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns ports that are free at `ip`.
fn free_ports(ip: IpAddr, pid: u32) -> io::Result<Ports> {
    for attempt in 0..100 {
        let base = 20_000 + ((pid + attempt * 37) % 1000) as u16 * 30;
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        if (base..base + 24).all(is_free) {
            return Ok(Ports {
                outbound: base,
                inbound: base + 1,
                ready: base + 2,
                control: base + 3,
                backend: base + 4,
                inner: (base + 8, base + 23),
            });
        }
    }
    Err(io::Error::other("no free ports"))
}

//! A mesh of nodes on loopback addresses with one store.

use std::fs;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

use crate::node::{Node, Settings};
use crate::record::Record;
use crate::store::Store;

/// Time that a node may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Mesh with its temporary folder, which is removed in the end.
pub struct Mesh {
    pub store: Store,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    net: (u8, u8),
}

/// Route of a configuration: path prefix, class, timeout in ms, and service.
pub type Route<'a> = (&'a str, &'a str, u32, &'a str);

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

impl Mesh {
    /// Starts the store and one node for each zone and service of `places`.
    pub fn start(
        record: &Record,
        places: &[(&str, &str)],
        routes: &[Route<'_>],
    ) -> io::Result<Self> {
        let net = free_net()?;
        let folder = std::env::temp_dir().join(format!("swiftcart-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start("127.0.0.1")?;
        store.put("keyed.op", "config", config(7, routes).as_bytes());
        let mut mesh = Self {
            store,
            nodes: Vec::new(),
            folder,
            net,
        };
        for (n, (zone, service)) in places.iter().enumerate() {
            let settings = Settings {
                ip: mesh.ip(n),
                zone: (*zone).into(),
                service: (*service).into(),
                store: mesh.store.addr,
                first_start: true,
            };
            mesh.nodes.push(Node::start(&settings, &mesh.folder)?);
            record.line(&format!(
                "node {n} starts at {} in {zone} beside {service}",
                settings.ip
            ));
        }
        for node in &mesh.nodes {
            node.wait_ready(READY_LIMIT)?;
        }
        record.line("all nodes are ready");
        Ok(mesh)
    }

    /// Address of the machine with number `n`.
    pub fn ip(&self, n: usize) -> String {
        let (a, b) = self.net;
        format!("127.{a}.{b}.{}", 10 + n)
    }

    /// Starts node `n` again after its process has ended, as the platform does.
    pub fn restart(&mut self, n: usize) -> io::Result<()> {
        let settings = Settings {
            first_start: false,
            ..self.nodes[n].settings.clone()
        };
        self.nodes[n] = Node::start(&settings, &self.folder)?;
        Ok(())
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the two middle numbers of a loopback network whose ports are free.
fn free_net() -> io::Result<(u8, u8)> {
    let pid = std::process::id();
    for step in 0..64 {
        let n = pid.wrapping_add(step * 7919);
        let net = ((n >> 8 & 0x7f) as u8 + 64, n as u8);
        let ports = [8620, 8624, 8625, 8629, 7600, 7615, 8628];
        let free = |port| TcpListener::bind((format!("127.{}.{}.10", net.0, net.1), port)).is_ok();
        if ports.into_iter().all(free) {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback network"))
}

/// Returns a configuration as the operator writes it, under swiftcart's names.
pub fn config(version: u64, routes: &[Route<'_>]) -> String {
    let mut services: Vec<&str> = routes.iter().map(|route| route.3).collect();
    services.sort_unstable();
    services.dedup();
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(n, (prefix, class, timeout, service))| {
            format!(
                "{{\"name\":\"r-{n}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
                 \"routeType\":\"{class}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":400,\
                 \"priority\":2,\"service\":\"{service}\",\"maxAttempts\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":130,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"release\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

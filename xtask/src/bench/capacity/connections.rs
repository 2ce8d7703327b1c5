//! Memory of a node over callers' connections that are open and idle.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::Error;
use crate::bench::latency::NodePair;
use crate::bench::results::{Results, Series};
use crate::fleet::Fleet;

const BENCH: &str = "capacity-connections";

/// Connections open at once.
const COUNTS: [usize; 4] = [0, 250, 500, 1000];

const TIMEOUT: Duration = Duration::from_secs(5);

/// Opens more and more connections, each used once, and reads the node's memory.
pub(super) async fn measure(fleet: &Fleet, results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "idle connections".to_owned());
    let addr = fleet.instances[NodePair::INGRESS].addrs.calls;
    let mut open = Vec::new();
    for count in COUNTS {
        while open.len() < count {
            open.push(connect(addr)?);
        }
        let usage = fleet.usage(NodePair::INGRESS)?.unwrap_or_default();
        let series = Series::new(BENCH, "ingress", "memory", "MiB");
        results.add(series, count as f64, usage.rss_kib as f64 / 1024.0);
    }
    Ok(())
}

/// Opens a connection and makes one call, so that its buffers exist.
fn connect(addr: SocketAddr) -> Result<TcpStream, Error> {
    let failed = |e: std::io::Error| Error::Http(addr, "/".to_owned(), e.to_string());
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    let request = format!("GET /no-such-route HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(failed)?;
    stream.read(&mut [0; 1024]).map_err(failed)?;
    Ok(stream)
}

//! Memory of an ingress by number of idle connections from callers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::Error;
use crate::bench::latency::NodePair;
use crate::bench::results::{Results, Series};
use crate::fleet::Fleet;

const BENCH: &str = "capacity-connections";

/// Numbers of open connections to measure at.
const CONNECTION_COUNTS: [usize; 4] = [0, 250, 500, 1000];

/// Timeout to connect and to read a response.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens connections up to each count and records the memory of the ingress.
///
/// Each connection is used for one request and then stays idle.
pub(super) async fn measure(fleet: &Fleet, results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "idle connections".to_owned());
    let addr = fleet.instances[NodePair::INGRESS].addrs.calls;
    let mut open = Vec::new();
    for count in CONNECTION_COUNTS {
        while open.len() < count {
            open.push(connect(addr)?);
        }
        let usage = fleet.usage(NodePair::INGRESS)?.unwrap_or_default();
        let series = Series::new(BENCH, "ingress", "memory", "MiB");
        results.record(series, count as f64, usage.rss_kib as f64 / 1024.0);
    }
    Ok(())
}

/// Opens a connection and sends one request, so that the node allocates its buffers.
fn connect(addr: SocketAddr) -> Result<TcpStream, Error> {
    let failed = |e: std::io::Error| Error::Http(addr, "/".to_owned(), e.to_string());
    let mut stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).map_err(failed)?;
    let request = format!("GET /no-such-route HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(failed)?;
    stream.read(&mut [0; 1024]).map_err(failed)?;
    Ok(stream)
}

//! Allocation of loopback addresses before the processes that listen on them start.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Error;

/// Ports to allocate from.
///
/// The range lies below the system's ephemeral ports. Otherwise the system could assign a port
/// that was found free before its process binds it.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Lowest last octet of an instance's IP address, and the number of octets in use.
///
/// Instances beyond this number share the addresses of earlier instances.
const FIRST_OCTET: usize = 10;
const OCTET_COUNT: usize = 240;

/// Maximum number of ports to try for one address.
const MAX_ATTEMPTS: u32 = 1000;

/// Allocator of loopback addresses that are free for TCP and UDP.
#[derive(Debug)]
pub struct Ports {
    rng: SmallRng,
    allocated: BTreeSet<SocketAddr>,
}

impl Ports {
    /// Creates an allocator with a random seed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            rng: SmallRng::from_os_rng(),
            allocated: BTreeSet::new(),
        }
    }

    /// Returns the IP address of the instance with this number.
    #[must_use]
    pub fn instance(number: usize) -> IpAddr {
        let last = FIRST_OCTET + number % OCTET_COUNT;
        // `last` is at most 249.
        IpAddr::V4(Ipv4Addr::new(127, 0, 0, last as u8))
    }

    /// Returns an address at `ip` whose port is free and was not allocated before.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoPort`] when no free port is found.
    pub fn pick(&mut self, ip: IpAddr) -> Result<SocketAddr, Error> {
        for _ in 0..MAX_ATTEMPTS {
            let addr = SocketAddr::new(ip, self.rng.random_range(PORT_RANGE));
            if is_free(addr) && self.allocated.insert(addr) {
                return Ok(addr);
            }
        }
        Err(Error::NoPort(ip))
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}

fn is_free(addr: SocketAddr) -> bool {
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}

//! Addresses for processes that have to know each other before they start.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Error;

/// Ports below the range that the system hands out, so that nothing takes one that
/// was found free before its process binds it.
const RANGE: std::ops::Range<u16> = 12_000..32_000;

/// The first and the number of the last octets of instances; more instances share.
const FIRST: usize = 10;
const INSTANCES: usize = 240;

/// Tries to find one free port before giving up.
const TRIES: u32 = 1000;

/// Hands out addresses of the loopback network that are free for TCP and UDP.
#[derive(Debug)]
pub struct Ports {
    rng: SmallRng,
    given: BTreeSet<SocketAddr>,
}

impl Ports {
    /// Creates a source of addresses that starts at a random port.
    #[must_use]
    pub fn new() -> Self {
        Self {
            rng: SmallRng::from_os_rng(),
            given: BTreeSet::new(),
        }
    }

    /// Returns the IP address of the instance with this number.
    #[must_use]
    pub fn instance(number: usize) -> IpAddr {
        let last = FIRST + number % INSTANCES;
        // `last` is at most 249.
        IpAddr::V4(Ipv4Addr::new(127, 0, 0, last as u8))
    }

    /// Returns an address at `ip` whose port is free and was not given before.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoPort`] when no port is found.
    pub fn pick(&mut self, ip: IpAddr) -> Result<SocketAddr, Error> {
        for _ in 0..TRIES {
            let addr = SocketAddr::new(ip, self.rng.random_range(RANGE));
            if is_free(addr) && self.given.insert(addr) {
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

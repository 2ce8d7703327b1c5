//! The baseline: a process that polls the platform by itself, as every node would have to.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftcart_core::{Offset, Version};
use swiftcart_platform::Platform;
use tokio::time::sleep;

use crate::Error;

/// Records asked for at once.
const LIMIT: u32 = 1000;

/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);

/// Tells how a poller asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Poller {
    /// Where the platform is.
    pub platform: SocketAddr,
    /// The pause between two reads.
    pub gap: Duration,
    /// How long the platform may hold a read.
    pub wait: Duration,
}

impl Poller {
    /// Reads `ADDR GAP_MS WAIT_MS`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] when it is anything else.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let ms = |text: &str| text.parse().ok().map(Duration::from_millis);
        let parsed = match args {
            [addr, gap, wait] => addr.parse().ok().zip(ms(gap).zip(ms(wait))),
            _ => None,
        };
        let (platform, (gap, wait)) = parsed.ok_or_else(|| Error::Usage(args.join(" ")))?;
        Ok(Self {
            platform,
            gap,
            wait,
        })
    }

    /// Polls until the process is ended, and prints a line for each new version.
    pub async fn run(self) {
        let platform = Platform::new(self.platform);
        let mut next = Offset(0);
        loop {
            match platform.read("config", next, LIMIT, self.wait).await {
                Ok(page) => {
                    if page.next > next {
                        applied(page.next);
                    }
                    next = page.next;
                    sleep(self.gap).await;
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }
}

/// Prints what a node logs when a version comes into force.
fn applied(next: Offset) {
    let version = Version(next.0);
    println!("at={} event=applied version={version}", unix_ms());
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

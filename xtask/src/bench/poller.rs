//! Baseline process that polls the platform directly.
//!
//! Every node would have to poll like this if nodes did not pass the configuration on to each
//! other.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use swiftcart_core::{Offset, Version};
use swiftcart_platform::Platform;
use tokio::time::sleep;

use crate::Error;

/// Maximum number of records per read.
const MAX_RECORDS: u32 = 1000;

/// Delay before the next read after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Poller of the configuration log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Poller {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Pause between the end of a read and the start of the next read.
    pub read_pause: Duration,
    /// Maximum time that the platform holds a long poll.
    pub max_wait: Duration,
}

impl Poller {
    /// Parses the arguments `ADDR PAUSE_MS WAIT_MS`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] if the arguments do not have this form.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let ms = |text: &str| text.parse().ok().map(Duration::from_millis);
        let parsed = match args {
            [addr, read_pause, max_wait] => addr.parse().ok().zip(ms(read_pause).zip(ms(max_wait))),
            _ => None,
        };
        let (platform, (read_pause, max_wait)) =
            parsed.ok_or_else(|| Error::Usage(args.join(" ")))?;
        Ok(Self {
            platform,
            read_pause,
            max_wait,
        })
    }

    /// Polls the log until the process is killed and prints a line for each read with new records.
    pub async fn run(self) {
        let platform = Platform::new(self.platform);
        let mut next = Offset(0);
        loop {
            match platform
                .read("config", next, MAX_RECORDS, self.max_wait)
                .await
            {
                Ok(page) => {
                    if page.next > next {
                        log_applied(page.next);
                    }
                    next = page.next;
                    sleep(self.read_pause).await;
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }
}

/// Prints the event that a node logs when it applies a version.
fn log_applied(next: Offset) {
    let version = Version(next.0);
    println!("at={} event=applied version={version}", unix_ms());
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

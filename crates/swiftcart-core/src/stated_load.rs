//! Load that a backend server states about itself in its responses.

mod belief;
mod level;
mod slowdown;
mod trust;

use std::ops::RangeInclusive;
use std::str::FromStr;

use quick_error::quick_error;

pub use belief::*;
use level::Level;
pub use slowdown::*;
use trust::Trust;

/// Minimum and maximum stated pace that is believed, in percent of the usual service time.
const PACE_RANGE: RangeInclusive<u32> = 10..=10_000;

/// Minimum and maximum stated number of slots, running or queued requests that is believed.
const COUNT_RANGE: RangeInclusive<u32> = 0..=1 << 16;

quick_error! {
    /// Error of a statement that cannot be used.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StatedLoadError {
        /// The statement does not consist of three or four numbers.
        Malformed {
            display("the load is not three or four numbers separated by commas")
        }
        /// A number lies outside the believed range.
        OutOfRange(number: u32) {
            display("the load contains {number}, which is out of range")
        }
    }
}

/// Load that a backend server states in a response.
///
/// # Examples
///
/// ```
/// use swiftcart_core::StatedLoad;
///
/// let load: StatedLoad = "5,1,9,250".parse()?;
/// assert_eq!((load.running, load.queued, load.slots), (5, 1, 9));
/// assert_eq!(load.slowdown(), Some(2.5));
/// assert!("5,1".parse::<StatedLoad>().is_err());
/// # Ok::<(), swiftcart_core::StatedLoadError>(())
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StatedLoad {
    /// Requests that the backend server is running, for all of its callers.
    pub running: u32,
    /// Requests that wait in the backend server's own queue.
    pub queued: u32,
    /// Slots of the backend server.
    pub slots: u32,
    /// Current service time in percent of the usual one, if the backend server states it.
    pub pace: Option<u32>,
}

impl StatedLoad {
    /// Returns the current service time as a multiple of the usual one, if it is stated.
    #[must_use]
    pub fn slowdown(&self) -> Option<f64> {
        self.pace.map(|percent| f64::from(percent) / 100.0)
    }
}

impl FromStr for StatedLoad {
    type Err = StatedLoadError;

    /// Parses `running,queued,slots` or `running,queued,slots,pace`.
    fn from_str(text: &str) -> Result<Self, StatedLoadError> {
        let mut numbers = text.split(',').map(|part| {
            let number = part.trim().parse::<u32>();
            number.map_err(|_| StatedLoadError::Malformed)
        });
        let mut count = || match numbers.next() {
            Some(number) => in_range(number?, COUNT_RANGE),
            None => Err(StatedLoadError::Malformed),
        };
        let (running, queued, slots) = (count()?, count()?, count()?);
        let pace = match numbers.next() {
            Some(percent) => Some(in_range(percent?, PACE_RANGE)?),
            None => None,
        };
        match numbers.next() {
            None => Ok(Self {
                running,
                queued,
                slots,
                pace,
            }),
            Some(_) => Err(StatedLoadError::Malformed),
        }
    }
}

/// Returns `number` if it lies within `range`.
fn in_range(number: u32, range: RangeInclusive<u32>) -> Result<u32, StatedLoadError> {
    match range.contains(&number) {
        true => Ok(number),
        false => Err(StatedLoadError::OutOfRange(number)),
    }
}

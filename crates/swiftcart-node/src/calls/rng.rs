//! Random number generator of the call path, one per thread to avoid contention.

use std::cell::RefCell;

use rand::SeedableRng;
use rand::rngs::SmallRng;

thread_local! {
    static RNG: RefCell<SmallRng> = RefCell::new(SmallRng::from_os_rng());
}

/// Calls `f` with the random number generator of the thread.
pub fn with_rng<T>(f: impl FnOnce(&mut SmallRng) -> T) -> T {
    RNG.with_borrow_mut(f)
}

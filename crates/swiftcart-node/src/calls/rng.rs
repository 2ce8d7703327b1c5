//! The random source of the call path: one for each thread, so that nobody waits for it.

use std::cell::RefCell;

use rand::SeedableRng;
use rand::rngs::SmallRng;

thread_local! {
    static RNG: RefCell<SmallRng> = RefCell::new(SmallRng::from_os_rng());
}

/// Calls `f` with the thread's random source.
pub fn with_rng<T>(f: impl FnOnce(&mut SmallRng) -> T) -> T {
    RNG.with_borrow_mut(f)
}

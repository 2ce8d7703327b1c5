//! Re-exports the coordination parts of swiftcart for programs that embed them.

pub use swiftcart_core::*;

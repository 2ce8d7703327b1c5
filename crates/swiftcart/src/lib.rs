//! Re-exports of the coordination logic of swiftcart, for programs that embed it.

pub use swiftcart_core::*;

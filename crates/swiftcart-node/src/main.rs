//! `swiftcartd`, the node beside a backend server.

use std::process::ExitCode;

use swiftcart_node::{Edges, run_program};

fn main() -> ExitCode {
    run_program("swiftcartd", |_| Edges::new())
}

//! The `swiftcartd` program, which runs the node beside a backend server.

use std::process::ExitCode;

use swiftcart_node::{PlatformAdapters, run_program};

fn main() -> ExitCode {
    run_program("swiftcartd", |_| PlatformAdapters::new())
}

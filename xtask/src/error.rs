//! Errors that prevent a task from running to completion.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitStatus;

use quick_error::quick_error;

quick_error! {
    /// Error that prevents a task from running to completion.
    #[derive(Debug)]
    pub enum Error {
        /// The command line contains an unknown or invalid argument.
        Usage(argument: String) {
            display("`{}` is not understood; `cargo xtask help` lists the commands", argument)
        }
        /// A program could not be started or waited for.
        Program(name: String, err: io::Error) {
            display("cannot run `{}`: {}", name, err)
            source(err)
        }
        /// A file could not be read or written.
        File(path: PathBuf, err: io::Error) {
            display("{}: {}", path.display(), err)
            source(err)
        }
        /// A file of the repository has invalid content.
        Content(path: PathBuf, cause: String) {
            display("{}: {}", path.display(), cause)
        }
        /// A process exited unexpectedly.
        Ended(name: String, status: ExitStatus, last_line: String) {
            display("{} exited unexpectedly ({}); last log line: {}", name, status, last_line)
        }
        /// No port is free.
        NoPort(ip: IpAddr) {
            display("no free port found at {}", ip)
        }
        /// An HTTP request to a process failed or returned an invalid response.
        Http(addr: SocketAddr, path: String, cause: String) {
            display("{}{}: {}", addr, path, cause)
        }
        /// A condition was not met before the time limit.
        Late(what: String, pending: String) {
            display("timed out waiting for {}; missing: {}", what, pending)
        }
        /// A command of the operators' tool failed.
        Tool(command: String, output: String) {
            display("`{}` failed: {}", command, output)
        }
        /// The run was interrupted by a signal.
        Interrupted {
            display("interrupted by a signal; all processes of the run were stopped")
        }
        /// The load generator failed.
        Load(err: swiftcart_standin::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The processes of a run exceed the memory limit.
        Memory(used: u64, limit: u64) {
            display("the run uses {} MiB, at most {} MiB are allowed; measure fewer nodes", used, limit)
        }
        /// System packages are missing and this user cannot install them.
        Packages(missing: String) {
            display("system packages are missing; run: sudo apt-get install {}", missing)
        }
    }
}

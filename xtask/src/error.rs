//! Reasons why a chore could not run to a verdict.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitStatus;

use quick_error::quick_error;

quick_error! {
    /// Tells why a chore could not run to a verdict.
    #[derive(Debug)]
    pub enum Error {
        /// The command line names something that does not exist.
        Usage(word: String) {
            display("`{}` is not understood; `cargo xtask help` lists the commands", word)
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
        /// A file of the repository does not hold what it must.
        Content(path: PathBuf, cause: String) {
            display("{}: {}", path.display(), cause)
        }
        /// A process ended by itself.
        Ended(name: String, status: ExitStatus, last: String) {
            display("{} ended by itself ({}); its last line: {}", name, status, last)
        }
        /// No port is free.
        NoPort(ip: IpAddr) {
            display("no free port found at {}", ip)
        }
        /// A process gave no useful answer.
        Http(addr: SocketAddr, path: String, cause: String) {
            display("{}{}: {}", addr, path, cause)
        }
        /// A condition did not come about in time.
        Late(what: String, who: String) {
            display("waited too long for {}; missing: {}", what, who)
        }
        /// A command of the operators' tool failed.
        Tool(command: String, output: String) {
            display("`{}` failed: {}", command, output)
        }
        /// The run was stopped from outside.
        Interrupted {
            display("stopped by a signal; every process of the run was ended")
        }
        /// A load could not be run.
        Load(err: swiftcart_standin::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The processes of a run use too much memory.
        Memory(used: u64, most: u64) {
            display("the run uses {} MiB, at most {} MiB are allowed; measure fewer nodes", used, most)
        }
        /// System packages are missing and this user cannot install them.
        Packages(missing: String) {
            display("system packages are missing; type: sudo apt-get install {}", missing)
        }
    }
}

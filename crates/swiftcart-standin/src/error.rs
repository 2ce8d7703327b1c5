//! Errors of the stand-ins themselves, as opposed to the faults that they inject.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Error of a stand-in that cannot start or rejects a call.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The listener cannot be bound to the address.
        Listen(addr: SocketAddr, err: io::Error) {
            display("cannot listen on {}: {}; choose a free port, or port 0", addr, err)
            source(err)
        }
        /// The command line is malformed.
        Args(err: getopts::Fail) {
            display("{}; see --help", err)
            source(err)
            from()
        }
        /// The settings are not valid JSON or do not match the expected fields.
        Settings(err: serde_json::Error) {
            display("invalid settings: {}; see the fields in the crate's documentation", err)
            source(err)
            from()
        }
        /// The settings file cannot be read.
        File(path: String, err: io::Error) {
            display("cannot read {}: {}", path, err)
            source(err)
        }
        /// An address is malformed.
        Addr(text: String) {
            display("{:?} is not an address; use the form IP:PORT", text)
        }
        /// The load has no target, no shape with a weight, no connection, or a rate that is not
        /// above zero.
        Load(advice: &'static str) {
            display("invalid load settings: {}", advice)
        }
        /// The log rejects an append or a read.
        Append(refusal: crate::Refusal) {
            display("the log rejected the request: {}", refusal)
            from()
        }
        /// The output cannot be written, or the signal handlers cannot be installed.
        Output(err: io::Error) {
            display("cannot write the output: {}", err)
            source(err)
            from()
        }
    }
}

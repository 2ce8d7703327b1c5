//! What can go wrong with a stand-in itself, apart from the faults it plays.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Tells why a stand-in does not start or refuses a call of the test.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum Error {
        /// The address cannot be listened on.
        Listen(addr: SocketAddr, err: io::Error) {
            display("cannot listen on {}: {}; choose a free port or 0", addr, err)
            source(err)
        }
        /// The command line is malformed.
        Args(err: getopts::Fail) {
            display("{}; see --help", err)
            source(err)
            from()
        }
        /// The settings are not the JSON that the stand-in expects.
        Settings(err: serde_json::Error) {
            display("settings: {}; see the fields in the crate's documentation", err)
            source(err)
            from()
        }
        /// The settings' file cannot be read.
        File(path: String, err: io::Error) {
            display("cannot read {}: {}", path, err)
            source(err)
        }
        /// An address is malformed.
        Addr(text: String) {
            display("{:?} is no address; write IP:PORT", text)
        }
        /// The load lacks a target or a shape, or its rate is not above zero.
        Load(cure: &'static str) {
            display("the load cannot run: {}", cure)
        }
        /// The log refuses an append.
        Append(refusal: crate::Refusal) {
            display("the log refuses the append: {}", refusal)
            from()
        }
        /// The report cannot be written.
        Output(err: io::Error) {
            display("cannot write the output: {}", err)
            source(err)
            from()
        }
    }
}

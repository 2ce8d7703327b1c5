//! Reasons why a chore could not run to a verdict.

use std::io;
use std::path::PathBuf;

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
        /// System packages are missing and this user cannot install them.
        Packages(missing: String) {
            display("system packages are missing; type: sudo apt-get install {}", missing)
        }
    }
}

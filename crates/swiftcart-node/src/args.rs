//! Command line of `swiftcartd`.

use std::path::PathBuf;

use getopts::Options;
use quick_error::quick_error;

quick_error! {
    /// Error of a command line.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ArgsError {
        /// An option is unknown, repeated or lacks its value.
        Option(err: getopts::Fail) {
            from()
            source(err)
            display("{err}: see swiftcartd --help")
        }
        /// An argument is not an option.
        UnexpectedArgument(argument: String) {
            display("unexpected argument {argument:?}: see swiftcartd --help")
        }
        /// The settings file is not given.
        MissingSettingsFile {
            display("missing settings file: pass it with --settings FILE")
        }
    }
}

/// Action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Args {
    /// Run a node with this settings file.
    Run(PathBuf),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print this help text.
    Help(String),
    /// Print the release.
    Version,
}

impl Args {
    /// Parses the command line without the name of the program.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid argument and how to fix it.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_node::Args;
    ///
    /// let args = Args::parse(["--settings", "node.json"])?;
    /// assert_eq!(args, Args::Run("node.json".into()));
    /// # Ok::<(), swiftcart_node::ArgsError>(())
    /// ```
    pub fn parse<I>(arguments: I) -> Result<Self, ArgsError>
    where
        I: IntoIterator,
        I::Item: AsRef<std::ffi::OsStr>,
    {
        let options = options();
        let found = options.parse(arguments)?;
        let file = found.opt_str("settings").map(PathBuf::from);
        match (found.free.first(), file) {
            _ if found.opt_present("help") => Ok(Self::Help(
                options.usage("Usage: swiftcartd --settings FILE [--check]"),
            )),
            _ if found.opt_present("version") => Ok(Self::Version),
            (Some(argument), _) => Err(ArgsError::UnexpectedArgument(argument.clone())),
            (None, None) => Err(ArgsError::MissingSettingsFile),
            (None, Some(file)) if found.opt_present("check") => Ok(Self::Check(file)),
            (None, Some(file)) => Ok(Self::Run(file)),
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "path of the settings file (JSON)", "FILE")
        .optflag("c", "check", "check the settings file and exit")
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the release");
    options
}

//! The command line of `swiftcartd`.

use std::path::PathBuf;

use getopts::Options;
use quick_error::quick_error;

quick_error! {
    /// Tells why a command line is refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ArgsError {
        /// An option is unknown, repeated or lacks its value.
        Option(err: getopts::Fail) {
            from()
            source(err)
            display("{err}: see swiftcartd --help")
        }
        /// A word is no option.
        Extra(word: String) {
            display("{word:?} is no option: see swiftcartd --help")
        }
        /// The settings file is not named.
        NoSettings {
            display("no settings: name the file with --settings FILE")
        }
    }
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Args {
    /// Run a node with these settings.
    Run(PathBuf),
    /// Only check the settings.
    Check(PathBuf),
    /// Show the options.
    Help(String),
    /// Show the release.
    Version,
}

impl Args {
    /// Reads the command line without the program's name.
    ///
    /// # Errors
    ///
    /// Returns what is refused and the cure.
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
    pub fn parse<I>(words: I) -> Result<Self, ArgsError>
    where
        I: IntoIterator,
        I::Item: AsRef<std::ffi::OsStr>,
    {
        let options = options();
        let found = options.parse(words)?;
        let file = found.opt_str("settings").map(PathBuf::from);
        match (found.free.first(), file) {
            _ if found.opt_present("help") => Ok(Self::Help(
                options.usage("Usage: swiftcartd --settings FILE [--check]"),
            )),
            _ if found.opt_present("version") => Ok(Self::Version),
            (Some(word), _) => Err(ArgsError::Extra(word.clone())),
            (None, None) => Err(ArgsError::NoSettings),
            (None, Some(file)) if found.opt_present("check") => Ok(Self::Check(file)),
            (None, Some(file)) => Ok(Self::Run(file)),
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "the settings (JSON)", "FILE")
        .optflag("c", "check", "only check the settings")
        .optflag("h", "help", "show this help")
        .optflag("V", "version", "show the release");
    options
}

//! The command line of `cargo xtask bench`.

use std::path::PathBuf;

use getopts::Options;

use crate::Error;

/// Tells what to measure and how much of it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Measure convergence time, control bytes and platform reads.
    pub convergence: bool,
    /// Measure the latency that nodes add.
    pub latency: bool,
    /// Measure good answers a second under too much load.
    pub overload: bool,
    /// Measure the slopes that the capacity page needs.
    pub capacity: bool,
    /// Numbers of nodes.
    pub sizes: Vec<usize>,
    /// How often each measurement is repeated.
    pub rounds: usize,
    /// Where the results go; a folder named after commit and time otherwise.
    pub out: Option<PathBuf>,
}

/// Tells what the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Measure.
    Run(Plan),
    /// Compare two files of results.
    Compare(PathBuf, PathBuf),
    /// Print the options.
    Help(String),
}

impl Request {
    /// Reads the words after `bench`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] with the word that is not understood.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let options = options();
        let found = options
            .parse(args)
            .map_err(|e| Error::Usage(e.to_string()))?;
        if found.opt_present("help") {
            return Ok(Self::Help(
                options.usage("Usage: cargo xtask bench [OPTIONS]"),
            ));
        }
        match (found.opt_present("compare"), &found.free[..]) {
            (true, [old, new]) => return Ok(Self::Compare(old.into(), new.into())),
            (false, []) => (),
            (_, words) => return Err(Error::Usage(words.join(" "))),
        }
        let sizes = found
            .opt_str("sizes")
            .unwrap_or_else(|| "13,26,52,104".to_owned());
        let sizes = sizes.split(',').map(number).collect::<Result<_, _>>()?;
        let rounds = found
            .opt_str("rounds")
            .map_or(Ok(3), |text| number(&text))?;
        let all = BENCHES.iter().all(|(name, _)| !found.opt_present(name));
        let wanted = |name| all || found.opt_present(name);
        Ok(Self::Run(Plan {
            convergence: wanted("convergence"),
            latency: wanted("latency"),
            overload: wanted("overload"),
            capacity: wanted("capacity"),
            sizes,
            rounds,
            out: found.opt_str("out").map(PathBuf::from),
        }))
    }
}

const BENCHES: [(&str, &str); 4] = [
    (
        "convergence",
        "convergence time, control bytes and platform reads over nodes",
    ),
    ("latency", "latency added by one node and by two"),
    ("overload", "good answers a second over the offered load"),
    ("capacity", "processor time and memory of each role"),
];

fn options() -> Options {
    let mut options = Options::new();
    for (name, text) in BENCHES {
        options.optflag("", name, text);
    }
    options
        .optopt("", "sizes", "numbers of nodes (13,26,52,104)", "N,N,..")
        .optopt("", "rounds", "repeats of each measurement (3)", "N")
        .optopt("", "out", "folder for the results", "DIR")
        .optflag(
            "",
            "compare",
            "compare two results.json files: --compare OLD NEW",
        )
        .optflag("h", "help", "print this text");
    options
}

fn number(text: &str) -> Result<usize, Error> {
    match text.parse() {
        Ok(n) if n > 0 => Ok(n),
        _ => Err(Error::Usage(text.to_owned())),
    }
}

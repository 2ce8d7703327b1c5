//! Command line options of `cargo xtask bench`.

use std::path::PathBuf;

use getopts::Options;

use crate::Error;

/// Selected benches and the extent of the measurements.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Selects convergence time, control traffic and platform reads.
    pub convergence: bool,
    /// Selects the latency that nodes add to requests.
    pub latency: bool,
    /// Selects goodput under overload.
    pub overload: bool,
    /// Selects the resource usage of each role, for capacity planning.
    pub capacity: bool,
    /// Node counts to measure.
    pub sizes: Vec<usize>,
    /// Number of times that each measurement is made.
    pub rounds: usize,
    /// Output directory. The default directory is named after the time and the commit.
    pub out: Option<PathBuf>,
}

/// Command given on the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BenchCommand {
    /// Runs the selected benches.
    Run(Plan),
    /// Compares two result files, the old one first.
    Compare(PathBuf, PathBuf),
    /// Prints the usage text.
    Help(String),
}

impl BenchCommand {
    /// Parses the arguments after `bench`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Usage`] with the invalid arguments.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let options = options();
        let matches = options
            .parse(args)
            .map_err(|e| Error::Usage(e.to_string()))?;
        if matches.opt_present("help") {
            return Ok(Self::Help(
                options.usage("Usage: cargo xtask bench [OPTIONS]"),
            ));
        }
        match (matches.opt_present("compare"), &matches.free[..]) {
            (true, [old, new]) => return Ok(Self::Compare(old.into(), new.into())),
            (false, []) => (),
            (_, free) => return Err(Error::Usage(free.join(" "))),
        }
        let sizes = matches
            .opt_str("sizes")
            .unwrap_or_else(|| "13,26,52,104".to_owned());
        let sizes = sizes
            .split(',')
            .map(parse_positive)
            .collect::<Result<_, _>>()?;
        let rounds = matches
            .opt_str("rounds")
            .map_or(Ok(3), |text| parse_positive(&text))?;
        let all = BENCHES.iter().all(|(name, _)| !matches.opt_present(name));
        let selected = |name| all || matches.opt_present(name);
        Ok(Self::Run(Plan {
            convergence: selected("convergence"),
            latency: selected("latency"),
            overload: selected("overload"),
            capacity: selected("capacity"),
            sizes,
            rounds,
            out: matches.opt_str("out").map(PathBuf::from),
        }))
    }
}

const BENCHES: [(&str, &str); 4] = [
    (
        "convergence",
        "convergence time, control traffic and platform reads by node count",
    ),
    ("latency", "latency added by one node and by two nodes"),
    ("overload", "goodput by offered load"),
    ("capacity", "CPU time and memory of each role"),
];

fn options() -> Options {
    let mut options = Options::new();
    for (name, text) in BENCHES {
        options.optflag("", name, text);
    }
    options
        .optopt("", "sizes", "node counts (default: 13,26,52,104)", "N,N,..")
        .optopt("", "rounds", "number of rounds (default: 3)", "N")
        .optopt("", "out", "output directory", "DIR")
        .optflag(
            "",
            "compare",
            "compare two results.json files: --compare OLD NEW",
        )
        .optflag("h", "help", "print this help text");
    options
}

fn parse_positive(text: &str) -> Result<usize, Error> {
    match text.parse() {
        Ok(n) if n > 0 => Ok(n),
        _ => Err(Error::Usage(text.to_owned())),
    }
}

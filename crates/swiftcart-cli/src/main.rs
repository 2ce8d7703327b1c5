//! Entry point of `swiftcart`: prints the command's report and exits with its code.

use std::io::{self, Write};
use std::process::ExitCode;

use swiftcart_cli::{Error, Exit, Invocation, Report, run};

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let (json, result) = match Invocation::parse(&args) {
        Ok(invocation) => (invocation.json, execute(&invocation)),
        Err(error) => (args.iter().any(|arg| arg == "--json"), Err(error)),
    };
    let exit = match (json, result) {
        (true, result) => {
            let report = result.unwrap_or_else(|error| Report::from(&error));
            print(&mut io::stdout(), &report.json.to_string(), report.exit)
        }
        (false, Ok(report)) if report.exit == Exit::Rejected => {
            print(&mut io::stderr(), &report.text, report.exit)
        }
        (false, Ok(report)) => print(&mut io::stdout(), &report.text, report.exit),
        (false, Err(error)) => print(&mut io::stderr(), &Report::from(&error).text, error.exit()),
    };
    ExitCode::from(exit.code())
}

fn execute(invocation: &Invocation) -> Result<Report, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(run(invocation))
}

/// Prints `text` and returns the exit code. A closed pipe does not change the code, since the
/// command has already run.
fn print(out: &mut impl Write, text: &str, exit: Exit) -> Exit {
    match writeln!(out, "{text}").and_then(|()| out.flush()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe && exit == Exit::Done => Exit::Failed,
        _ => exit,
    }
}

//! Options and help texts of the commands.

use getopts::Options;

use super::accounts;

/// Command with its own options.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Name {
    Pull,
    Check,
    Diff,
    Publish,
    History,
    Status,
    Explain,
    Account(accounts::Name),
}

const ALL: &str = "\
Usage: swiftcart [OPTIONS] COMMAND

Commands:
    table pull      write the current table as a sheet (CSV)
    table check     check a sheet without the platform
    table diff      show what publishing a sheet would change
    table publish   publish a sheet
    history         show the last publishes, including rejected ones
    status          show the version of each node
    explain         trace a request through the nodes' logs
    account list    list the client accounts
    account add     add an account with a first key
    account rotate  add a key to an account
    account revoke  revoke a key of an account
    account quota   set the request quota of an account
    account homes   set the regions that may run its requests
    account remove  remove an account with all its keys

Exit codes:
    0  done
    1  other failure
    2  the command line, the settings or the sheet is invalid
    3  the publish was rejected; nothing changed
    4  the platform is unreachable; nothing was published
    5  outcome unknown; run the same command again with the printed --id
    6  accepted, but some live nodes did not have the version in time";

const PULL: &str = "\
Usage: swiftcart table pull [OPTIONS]

Writes the table as a sheet. The row of kind base records the version of the
table; keep this row. Rows may be sorted.";

const CHECK: &str = "\
Usage: swiftcart table check FILE

Checks a sheet without the platform and names each fault by line and column.
Faults that depend on rows outside the sheet are only printed as notes.";

const SCOPE: &str = "\
Rows that are not in the sheet are left unchanged, so a sheet may contain only
some services. To remove rows, use the kinds remove-service and remove-route, or
--prune, which removes all rows of the sheet's services that are not in it.";

const DIFF: &str = "\
Usage: swiftcart table diff [OPTIONS] FILE

Shows what publishing the sheet would change in the current table.";

const PUBLISH: &str = "\
Usage: swiftcart table publish [OPTIONS] FILE

Publishes all rows that differ from the sheet's base version, or none of them.
If another publish has changed one of these rows since that version, this one
is rejected and the conflicting rows are listed.";

const HISTORY: &str = "\
Usage: swiftcart history [OPTIONS]

Shows the last publishes that the log keeps, including rejected ones.";

const STATUS: &str = "\
Usage: swiftcart status [OPTIONS]

Asks a node for the membership list and each member for its version.";

const EXPLAIN: &str = "\
Usage: swiftcart explain [OPTIONS] ID FILE...

Prints the lines of the request ID from the nodes' log files in order of time,
with the details of each step, other events on these nodes around that time, and
the outcome. The last word before a log line names its node; without one, the
file name does.";

impl Name {
    /// Returns the maximum number of positional arguments of the command.
    pub(super) const fn arguments(self) -> usize {
        match self {
            Self::Pull | Self::History | Self::Status => 0,
            Self::Check | Self::Diff | Self::Publish => 1,
            Self::Explain => usize::MAX,
            Self::Account(name) => name.arguments(),
        }
    }

    /// Returns the options of the command, including the global options.
    pub(super) fn options(self) -> Options {
        let mut options = Options::new();
        match self {
            Self::Pull => {
                options
                    .optopt(
                        "",
                        "version",
                        "version to write (default: the current version)",
                        "N",
                    )
                    .optopt("", "format", "csv (default) or json", "FORMAT")
                    .optopt("o", "output", "write to this file", "FILE")
                    .optflag("", "force", "overwrite the file");
            }
            Self::Check | Self::Status | Self::Explain => {}
            Self::Account(name) => name.add_options(&mut options),
            Self::Diff => {
                options.optopt(
                    "",
                    "against",
                    "version to compare with (default: the current version)",
                    "N",
                );
                add_scope(&mut options);
            }
            Self::Publish => {
                options
                    .optopt(
                        "",
                        "author",
                        "author of the publish (default: $USER)",
                        "NAME",
                    )
                    .optopt(
                        "",
                        "id",
                        "id of an earlier publish with unknown outcome",
                        "HEX",
                    )
                    .optopt(
                        "",
                        "base",
                        "base version of the sheet (default: its base row)",
                        "N",
                    )
                    .optflagopt(
                        "w",
                        "wait",
                        "wait until all live nodes have the version (default: 30 s)",
                        "SECS",
                    );
                add_scope(&mut options);
            }
            Self::History => {
                options.optopt("", "limit", "number of publishes (default: 20)", "N");
            }
        }
        super::add_globals(&mut options);
        options
    }

    /// Returns the help text of the command.
    pub(super) fn help(self) -> String {
        let brief = match self {
            Self::Pull => PULL.into(),
            Self::Check => CHECK.into(),
            Self::Diff => format!("{DIFF}\n\n{SCOPE}"),
            Self::Publish => format!("{PUBLISH}\n\n{SCOPE}"),
            Self::History => HISTORY.into(),
            Self::Status => STATUS.into(),
            Self::Explain => EXPLAIN.into(),
            Self::Account(name) => name.brief().into(),
        };
        self.options().usage(&brief)
    }
}

/// Returns the options that are accepted before the command.
pub(super) fn globals() -> Options {
    let mut options = Options::new();
    super::add_globals(&mut options);
    options
}

/// Returns the help text of the program.
pub(super) fn all() -> String {
    let mut options = globals();
    options.optflag("V", "version", "print the program's version");
    options.usage(ALL)
}

fn add_scope(options: &mut Options) {
    options
        .optmulti(
            "",
            "only",
            "use only the rows of this service; repeatable",
            "SERVICE",
        )
        .optflag(
            "",
            "prune",
            "remove rows of the selected services that are not in the sheet",
        );
}

//! The options of each command and the texts that explain them.

use getopts::Options;

use super::accounts;

/// Names a command that has options of its own.
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
    history         show the last publishes, rejected ones too
    status          show which nodes have which version
    explain         tell from the nodes' logs what became of a request
    account list    show the client accounts
    account add     add one, with a first key
    account rotate  give one another key
    account revoke  take a key away
    account quota   set what one may send
    account homes   set the regions in which its requests are run
    account remove  remove one with all its keys

Exit codes:
    0  done
    1  another failure
    2  the command line, the settings or the sheet is wrong
    3  the publish was rejected; nothing changed
    4  the platform is out of reach; nothing was published
    5  outcome unknown; run the same command again with the printed --id
    6  accepted, but nodes still lacked the version when the wait was over";

const PULL: &str = "\
Usage: swiftcart table pull [OPTIONS]

Writes the table as a sheet. The version that it was made from stands in the
row of kind base; keep that row, rows may be sorted.";

const CHECK: &str = "\
Usage: swiftcart table check FILE

Checks a sheet without the platform and names each fault by line and column.
What depends on rows outside the sheet is only noted.";

const SCOPE: &str = "\
Rows that the sheet lacks stay as they are, so a sheet may name only some
services. Remove rows by kind remove-service or remove-route, or give --prune
to remove the rows that the sheet lacks of the services that it names.";

const DIFF: &str = "\
Usage: swiftcart table diff [OPTIONS] FILE

Shows what publishing the sheet would change in the current table.";

const PUBLISH: &str = "\
Usage: swiftcart table publish [OPTIONS] FILE

Publishes the rows that differ from the sheet's base version, together or not
at all. Rows that someone else changed since then are told and nothing changes.";

const HISTORY: &str = "\
Usage: swiftcart history [OPTIONS]

Shows the last publishes that the log keeps, rejected ones too.";

const STATUS: &str = "\
Usage: swiftcart status [OPTIONS]

Asks a node for all members and each member for its version.";

const EXPLAIN: &str = "\
Usage: swiftcart explain [OPTIONS] ID FILE...

Joins the lines of the request ID in the nodes' log files, in order, with what
decided each step, what these nodes came to believe meanwhile, and the outcome.
A word before a line names its node; otherwise the file's name does.";

impl Name {
    /// Returns how many arguments the command takes at most.
    pub(super) const fn arguments(self) -> usize {
        match self {
            Self::Pull | Self::History | Self::Status => 0,
            Self::Check | Self::Diff | Self::Publish => 1,
            Self::Explain => usize::MAX,
            Self::Account(name) => name.arguments(),
        }
    }

    /// Returns the options that the command takes.
    pub(super) fn options(self) -> Options {
        let mut options = Options::new();
        match self {
            Self::Pull => {
                options
                    .optopt("", "version", "the version to write", "N")
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
                    "compare with this version, not the current one",
                    "N",
                );
                add_scope(&mut options);
            }
            Self::Publish => {
                options
                    .optopt("", "author", "who publishes (default: $USER)", "NAME")
                    .optopt("", "id", "settle the earlier publish with this id", "HEX")
                    .optopt("", "base", "the version that the sheet was made from", "N")
                    .optflagopt(
                        "w",
                        "wait",
                        "wait until all live nodes have it (default: 30 s)",
                        "SECS",
                    );
                add_scope(&mut options);
            }
            Self::History => {
                options.optopt("", "limit", "how many publishes (default: 20)", "N");
            }
        }
        super::add_globals(&mut options);
        options
    }

    /// Returns the command's help.
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

/// Returns the options that may stand before the command.
pub(super) fn globals() -> Options {
    let mut options = Options::new();
    super::add_globals(&mut options);
    options
}

/// Returns the help of the whole program.
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
            "look only at this service's rows; repeatable",
            "SERVICE",
        )
        .optflag(
            "",
            "prune",
            "remove rows that the sheet lacks of its services",
        );
}

//! Options and help texts of the commands for client accounts.

use getopts::{Matches, Options};
use swiftcart_core::{Account, AccountName, Homes, Priority, Quota, Region};

use super::Command;
use super::value::value;
use crate::{AccountChange, Error, MIN_HASH_DIGITS};

const RATE_HINT: &str = "write requests per second from 1 to 4294967295";
const BURST_HINT: &str = "write requests from 1 to 4294967295";
const RANK_HINT: &str = "write a rank from 0 to 255; 0 is the highest priority";
const KEY_HINT: &str = "write at least 4 leading digits of a hash that account list shows";

const LIST: &str = "\
Usage: swiftcart account list [OPTIONS]

Lists the client accounts of the current table. Keys appear as the first digits
of their hashes.";

const ADD: &str = "\
Usage: swiftcart account add [OPTIONS] NAME

Adds a client account with a first key, which is shown once.";

const ROTATE: &str = "\
Usage: swiftcart account rotate [OPTIONS] NAME

Adds a key to a client account and shows it once. The other keys stay valid
until they are revoked.";

const REVOKE: &str = "\
Usage: swiftcart account revoke [OPTIONS] NAME KEY

Revokes the key whose hash begins with the digits KEY.";

const QUOTA: &str = "\
Usage: swiftcart account quota [OPTIONS] NAME

Sets the request quota of a client account over all nodes; without --rate, the
quota is removed.";

const HOMES: &str = "\
Usage: swiftcart account homes [OPTIONS] NAME [REGION]...

Sets the regions that may run the requests of a client account; without REGION,
all regions may.";

const REMOVE: &str = "\
Usage: swiftcart account remove [OPTIONS] NAME

Removes a client account with all its keys.";

/// Command for client accounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Name {
    List,
    Add,
    Rotate,
    Revoke,
    Quota,
    Homes,
    Remove,
}

impl Name {
    /// Returns the command with the name `word`.
    pub(super) fn of(word: &str) -> Option<Self> {
        match word {
            "list" => Some(Self::List),
            "add" => Some(Self::Add),
            "rotate" => Some(Self::Rotate),
            "revoke" => Some(Self::Revoke),
            "quota" => Some(Self::Quota),
            "homes" => Some(Self::Homes),
            "remove" => Some(Self::Remove),
            _ => None,
        }
    }

    /// Returns the maximum number of positional arguments of the command.
    pub(super) const fn arguments(self) -> usize {
        match self {
            Self::List => 0,
            Self::Add | Self::Rotate | Self::Quota | Self::Remove => 1,
            Self::Revoke => 2,
            Self::Homes => usize::MAX,
        }
    }

    /// Adds the options of the command, without the global options.
    pub(super) fn add_options(self, options: &mut Options) {
        if self != Self::List {
            options.optopt(
                "",
                "author",
                "author of the publish (default: $USER)",
                "NAME",
            );
        }
        if matches!(self, Self::Add | Self::Quota) {
            options
                .optopt("", "rate", "requests per second over all nodes", "N")
                .optopt(
                    "",
                    "burst",
                    "burst size in requests (default: the rate)",
                    "N",
                );
        }
        if self == Self::Add {
            options.optopt(
                "",
                "rank",
                "rank of its requests; overrides the rank of their routes",
                "N",
            );
        }
    }

    /// Returns the help text of the command, without its options.
    pub(super) const fn brief(self) -> &'static str {
        match self {
            Self::List => LIST,
            Self::Add => ADD,
            Self::Rotate => ROTATE,
            Self::Revoke => REVOKE,
            Self::Quota => QUOTA,
            Self::Homes => HOMES,
            Self::Remove => REMOVE,
        }
    }
}

/// Builds the command from its parsed arguments.
pub(super) fn command(name: Name, matches: &Matches) -> Result<Command, Error> {
    let change = match name {
        Name::List => return Ok(Command::Accounts),
        Name::Add => AccountChange::Add(account(matches)?, new_account(matches)?),
        Name::Rotate => AccountChange::Rotate(account(matches)?),
        Name::Revoke => AccountChange::Revoke(account(matches)?, digits(matches)?),
        Name::Quota => AccountChange::Quota(account(matches)?, quota(matches)?),
        Name::Homes => AccountChange::Homes(account(matches)?, homes(matches)),
        Name::Remove => AccountChange::Remove(account(matches)?),
    };
    Ok(Command::Account(change))
}

fn account(matches: &Matches) -> Result<AccountName, Error> {
    let name = matches.free.first();
    name.map(AccountName::new)
        .ok_or(Error::MissingArgument("the account's name"))
}

fn new_account(matches: &Matches) -> Result<Account, Error> {
    let rank = matches.opt_str("rank");
    let rank = rank.map(|text| value("rank", &text, RANK_HINT).map(Priority));
    Ok(Account {
        quota: quota(matches)?,
        priority: rank.transpose()?,
        ..Account::new()
    })
}

fn quota(matches: &Matches) -> Result<Option<Quota>, Error> {
    let number = |option: &'static str, hint| {
        let text = matches.opt_str(option);
        text.map(|text| value(option, &text, hint)).transpose()
    };
    let (rate, burst) = (number("rate", RATE_HINT)?, number("burst", BURST_HINT)?);
    match (rate, burst) {
        (None, None) => Ok(None),
        (None, Some(_)) => Err(Error::MissingArgument("--rate, which --burst requires,")),
        (Some(rate), burst) => Ok(Some(Quota {
            rate,
            burst: burst.unwrap_or(rate),
        })),
    }
}

fn digits(matches: &Matches) -> Result<String, Error> {
    let digits = matches
        .free
        .get(1)
        .ok_or(Error::MissingArgument("the key's hash"))?;
    let hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
    match hex && digits.len() >= MIN_HASH_DIGITS {
        true => Ok(digits.to_ascii_lowercase()),
        false => Err(Error::InvalidValue("KEY", digits.clone(), KEY_HINT)),
    }
}

fn homes(matches: &Matches) -> Homes {
    let regions = matches.free.iter().skip(1);
    regions.map(Region::new).collect()
}

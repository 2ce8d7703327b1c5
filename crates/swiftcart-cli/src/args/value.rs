//! Parsers for option values.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use swiftcart_core::{PublishId, Version};

use super::{DEFAULT_HISTORY_LIMIT, MAX_HISTORY_LIMIT};
use crate::Error;

pub(super) const ADDR_HINT: &str = "write IP:PORT, for example 127.0.0.1:7000";
pub(super) const NODE_HINT: &str = "name at most 64 nodes as IP:PORT, for example 127.0.0.1:7002";
const VERSION_HINT: &str = "write a version number, for example 12";
const LIMIT_HINT: &str = "write a number from 1 to 10000";
const ID_HINT: &str = "write 1 to 32 hexadecimal digits, as printed by an earlier publish";
const SECONDS_HINT: &str = "write a number of seconds from 1 to 3600";
pub(super) const FORMAT_HINT: &str = "write csv or json";

pub(super) fn limit(matches: &Matches) -> Result<usize, Error> {
    match matches.opt_str("limit") {
        None => Ok(DEFAULT_HISTORY_LIMIT),
        Some(text) => match value("limit", &text, LIMIT_HINT)? {
            n if (1..=MAX_HISTORY_LIMIT).contains(&n) => Ok(n),
            _ => Err(Error::InvalidValue("limit", text, LIMIT_HINT)),
        },
    }
}

pub(super) fn file(matches: &Matches) -> Result<PathBuf, Error> {
    let file = matches
        .free
        .first()
        .ok_or(Error::MissingArgument("the file"))?;
    Ok(PathBuf::from(file))
}

pub(super) fn version(matches: &Matches, name: &'static str) -> Result<Option<Version>, Error> {
    let text = matches.opt_str(name);
    let version = text.map(|text| value(name, &text, VERSION_HINT).map(Version));
    version.transpose()
}

pub(super) fn publish_id(text: &str) -> Result<PublishId, Error> {
    match text.bytes().all(|b| b.is_ascii_hexdigit()) {
        true => value("id", text, ID_HINT),
        false => Err(Error::InvalidValue("id", text.into(), ID_HINT)),
    }
}

pub(super) fn seconds(option: &'static str, text: &str) -> Result<Duration, Error> {
    match value(option, text, SECONDS_HINT)? {
        secs @ 1..=3600 => Ok(Duration::from_secs(secs)),
        _ => Err(Error::InvalidValue(option, text.into(), SECONDS_HINT)),
    }
}

pub(super) fn value<T: FromStr>(
    option: &'static str,
    text: &str,
    hint: &'static str,
) -> Result<T, Error> {
    text.parse()
        .map_err(|_| Error::InvalidValue(option, text.into(), hint))
}

//! Reads the values of options.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use swiftcart_core::{PublishId, Version};

use super::{DEFAULT_LIMIT, MAX_LIMIT};
use crate::Error;

pub(super) const ADDR: &str = "write IP:PORT, for example 127.0.0.1:7000";
pub(super) const NODE: &str = "name at most 64 nodes as IP:PORT, for example 127.0.0.1:7002";
const VERSION: &str = "write a version's number, for example 12";
const LIMIT: &str = "write a number from 1 to 10000";
const ID: &str = "write 1 to 32 hexadecimal digits, as an earlier publish printed them";
const SECONDS: &str = "write seconds from 1 to 3600";
pub(super) const FORMAT: &str = "write csv or json";

pub(super) fn limit(own: &Matches) -> Result<usize, Error> {
    match own.opt_str("limit") {
        None => Ok(DEFAULT_LIMIT),
        Some(text) => match value("limit", &text, LIMIT)? {
            n if (1..=MAX_LIMIT).contains(&n) => Ok(n),
            _ => Err(Error::Value("limit", text, LIMIT)),
        },
    }
}

pub(super) fn file(own: &Matches) -> Result<PathBuf, Error> {
    let file = own.free.first().ok_or(Error::Missing("the file"))?;
    Ok(PathBuf::from(file))
}

pub(super) fn version(own: &Matches, name: &'static str) -> Result<Option<Version>, Error> {
    let text = own.opt_str(name);
    let version = text.map(|text| value(name, &text, VERSION).map(Version));
    version.transpose()
}

pub(super) fn publish_id(text: &str) -> Result<PublishId, Error> {
    match text.bytes().all(|b| b.is_ascii_hexdigit()) {
        true => value("id", text, ID),
        false => Err(Error::Value("id", text.into(), ID)),
    }
}

pub(super) fn seconds(option: &'static str, text: &str) -> Result<Duration, Error> {
    match value(option, text, SECONDS)? {
        secs @ 1..=3600 => Ok(Duration::from_secs(secs)),
        _ => Err(Error::Value(option, text.into(), SECONDS)),
    }
}

pub(super) fn value<T: FromStr>(
    option: &'static str,
    text: &str,
    cure: &'static str,
) -> Result<T, Error> {
    text.parse()
        .map_err(|_| Error::Value(option, text.into(), cure))
}

//! Reading flags.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};

use crate::exit::{Exit, usage_error};

/// A flag is missing or its value is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlagError {
    /// The flag must be given.
    #[error("--{0} must be given")]
    Missing(&'static str),
    /// The flag's value cannot be read.
    #[error("--{name} {value}: {message}")]
    Invalid {
        name: &'static str,
        value: String,
        message: String,
    },
}

/// What the arguments name. The end of the program where they are wrong, or where help was asked for, which is
/// shown.
pub fn parse(options: &Options, usage: &str, arguments: &[String]) -> Result<Matches, Exit> {
    let matches = options.parse(arguments).map_err(usage_error)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Err(Exit::Success);
    }
    Ok(matches)
}

/// Reads a flag that may be absent.
pub fn optional<T>(matches: &Matches, name: &'static str) -> Result<Option<T>, FlagError>
where
    T: FromStr,
    T::Err: Display,
{
    let Some(value) = matches.opt_str(name) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(error) => {
            let message = format!("{error}");
            Err(FlagError::Invalid {
                name,
                value,
                message,
            })
        }
    }
}

/// Reads a flag that must be given.
pub fn required<T>(matches: &Matches, name: &'static str) -> Result<T, FlagError>
where
    T: FromStr,
    T::Err: Display,
{
    optional(matches, name)?.ok_or(FlagError::Missing(name))
}

/// Reads a flag that may be given several times.
pub fn several<T>(matches: &Matches, name: &'static str) -> Result<Vec<T>, FlagError>
where
    T: FromStr,
    T::Err: Display,
{
    let values = matches.opt_strs(name).into_iter();
    values
        .map(|value| {
            value.parse().map_err(|error: T::Err| FlagError::Invalid {
                name,
                message: error.to_string(),
                value,
            })
        })
        .collect()
}

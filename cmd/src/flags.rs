//! Parses command line flags.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};

use crate::exit::{Exit, usage_error};

/// A flag is missing or its value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlagError {
    /// A required flag is missing.
    #[error("--{0} must be given")]
    Missing(&'static str),
    /// The flag's value cannot be parsed.
    #[error("--{name} {value}: {message}")]
    Invalid {
        name: &'static str,
        value: String,
        message: String,
    },
}

/// Parses the arguments. Returns the exit code as an error if they are invalid or if help was requested, and
/// prints the message or the help.
pub fn parse(options: &Options, usage: &str, arguments: &[String]) -> Result<Matches, Exit> {
    let matches = options.parse(arguments).map_err(usage_error)?;
    if matches.opt_present("help") {
        println!("{}", options.usage(usage));
        return Err(Exit::Success);
    }
    Ok(matches)
}

/// Parses an optional flag.
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

/// Parses a required flag.
pub fn required<T>(matches: &Matches, name: &'static str) -> Result<T, FlagError>
where
    T: FromStr,
    T::Err: Display,
{
    optional(matches, name)?.ok_or(FlagError::Missing(name))
}

/// Parses a flag that may be repeated.
pub fn repeated<T>(matches: &Matches, name: &'static str) -> Result<Vec<T>, FlagError>
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

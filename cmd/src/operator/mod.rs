//! `dalestandctl`: commands for operators, sent to a node's operator API.

mod apply;
pub(crate) mod client;
mod completion;
mod explain;
mod log_explanation;
mod roles;
mod status;

use getopts::{Matches, Options};

use self::client::Client;
use crate::exit::{Exit, usage_error};
use crate::flags;

const USAGE: &str = "usage: dalestandctl [flags] COMMAND

commands:
  apply FILE            apply a deployment file as a whole
  diff FILE             what a deployment file would change
  status                what a node knows of the fleet
  roles                 engines and their roles, by group
  explain request ID    how a request was decided
  explain request ID --logs FILE [--logs FILE ...]
                        what logs of nodes tell of a request; asks no node
  explain engine ID     how an engine's role was decided
  drain                 begin a planned stop of the node asked
  drain engine ID       let an engine finish its work and take no new
  undrain engine ID     let it take work again
  completion            print the completion text for bash

exit codes: 0 done, 1 failed, 2 wrong flag or file, 3 another change came first,
4 not known whether it took effect";

const DEFAULT_AUTHOR: &str = "operator";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "n",
        "node",
        "operators' address of a node (default 127.0.0.1:8081)",
        "ADDRESS",
    );
    options.optopt(
        "k",
        "key-file",
        "file that holds the operators' key",
        "FILE",
    );
    options.optflag("j", "json", "print JSON");
    options.optopt(
        "",
        "author",
        "who applies or drains (default: operator)",
        "NAME",
    );
    options.optopt(
        "",
        "after",
        "apply: only if this revision stands there",
        "REVISION",
    );
    options.optmulti(
        "",
        "logs",
        "explain request: read this log; may be given again",
        "FILE",
    );
    options.optflag("h", "help", "show this help");
    options
}

/// Runs `dalestandctl` with its arguments.
pub fn run(arguments: &[String]) -> Exit {
    let options = options();
    let matches = match flags::parse(&options, USAGE, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let logs = matches.opt_strs("logs");
    if let ["explain", "request", id] = matches.free_words().as_slice()
        && !logs.is_empty()
    {
        return log_explanation::request(id, &logs);
    }
    match Client::from_flags(&matches) {
        Ok(client) => actix_rt::System::new().block_on(dispatch(&matches, &client)),
        Err(message) => usage_error(message),
    }
}

async fn dispatch(matches: &Matches, client: &Client) -> Exit {
    let json = matches.opt_present("json");
    let words = matches.free_words();
    match words.as_slice() {
        ["apply", path] => apply::apply(client, matches, path).await,
        ["diff", path] => apply::diff(client, path, json).await,
        ["status"] => status::status(client, json).await,
        ["roles"] => roles::roles(client, json).await,
        ["explain", "request", id] => explain::request(client, id, json).await,
        ["explain", "engine", id] => explain::engine(client, id, json).await,
        ["drain"] => status::drain(client).await,
        ["drain", "engine", id] => status::drain_engine(client, id, true, author(matches)).await,
        ["undrain", "engine", id] => status::drain_engine(client, id, false, author(matches)).await,
        ["completion"] => {
            print!("{}", completion::BASH);
            Exit::Success
        }
        _ => usage_error(USAGE),
    }
}

/// Access to the arguments that are not flags.
trait FreeWords {
    fn free_words(&self) -> Vec<&str>;
}

impl FreeWords for Matches {
    fn free_words(&self) -> Vec<&str> {
        self.free.iter().map(String::as_str).collect()
    }
}

/// Name of the operator who makes the change; informational.
fn author(matches: &Matches) -> String {
    matches
        .opt_str("author")
        .unwrap_or_else(|| DEFAULT_AUTHOR.to_owned())
}

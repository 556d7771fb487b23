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
  diff FILE             print what a deployment file would change
  status                print the fleet's state as known to a node
  roles                 print the engines of each group by role
  explain request ID    print how a request was routed
  explain request ID --logs FILE [--logs FILE ...]
                        explain a request from node logs, without contacting a node
  explain engine ID     print how an engine's role was chosen
  drain                 start a planned stop of the node
  drain engine ID       let an engine finish its requests and accept no new ones
  undrain engine ID     let the engine accept requests again
  completion            print the bash completion script

exit codes: 0 success, 1 failure, 2 invalid flag or file, 3 conflict with another change,
4 unknown whether the change took effect";

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
        "operator name recorded by apply, drain and undrain (default: operator)",
        "NAME",
    );
    options.optopt(
        "",
        "after",
        "apply: fail unless this is the current revision (0: none)",
        "REVISION",
    );
    options.optmulti(
        "",
        "logs",
        "explain request: read this log file; may be repeated",
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
    if let ["explain", "request", id] = matches.positional_arguments().as_slice()
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
    let arguments = matches.positional_arguments();
    match arguments.as_slice() {
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
trait PositionalArguments {
    fn positional_arguments(&self) -> Vec<&str>;
}

impl PositionalArguments for Matches {
    fn positional_arguments(&self) -> Vec<&str> {
        self.free.iter().map(String::as_str).collect()
    }
}

/// Name of the operator who makes the change; informational.
fn author(matches: &Matches) -> String {
    matches
        .opt_str("author")
        .unwrap_or_else(|| DEFAULT_AUTHOR.to_owned())
}

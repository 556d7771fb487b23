//! `dalestand room`: prints the fleet's capacity and demand by pool, as known to one node.

mod table;

use std::net::SocketAddr;

use dalestand_forwarding::CapacityReport;
use getopts::{Matches, Options};

pub use self::table::capacity_table;
use crate::exit::{Exit, failure, usage_error};
use crate::flags::{self, required};
use crate::operator::client::{Client, parse, print_json};

const USAGE: &str = "usage: dalestand room --node ADDRESS [--json]";

/// Path of the report on a node's metrics address.
const REPORT_PATH: &str = "/room";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("n", "node", "metrics address of any node", "ADDRESS");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "show this help");
    options
}

/// Prints the capacity report of a node.
pub fn run(arguments: &[String]) -> Exit {
    let options = options();
    let matches = match flags::parse(&options, USAGE, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    match node_address(&matches) {
        Ok(node) => {
            let json = matches.opt_present("json");
            actix_rt::System::new().block_on(print(node, json))
        }
        Err(faults) => usage_error(faults.join("\n")),
    }
}

/// Address of the node in the flags, or every fault in the flags.
fn node_address(matches: &Matches) -> Result<SocketAddr, Vec<String>> {
    let unexpected = matches.free.iter();
    let unexpected = unexpected.map(|argument| format!("{argument}: not expected"));
    let mut faults: Vec<String> = unexpected.collect();
    match required(matches, "node") {
        Ok(node) if faults.is_empty() => Ok(node),
        Ok(_) => Err(faults),
        Err(error) => {
            faults.push(error.to_string());
            Err(faults)
        }
    }
}

async fn print(node: SocketAddr, json: bool) -> Exit {
    let body = match Client::new(node).get(REPORT_PATH).await {
        Ok(body) => body,
        Err(error) => return failure(error),
    };
    match parse::<CapacityReport>(&body) {
        // Print the body as received: a newer node's report can have fields that this program does not know.
        Ok(_) if json => print_json(&body),
        Ok(report) => print!("{}", capacity_table(&report)),
        Err(error) => return failure(error),
    }
    Exit::Success
}

//! `dalestand room`: room and demand by pool, as one node knows them of the whole fleet.

mod table;

use std::net::SocketAddr;

use dalestand_forwarding::CapacityReport;
use getopts::{Matches, Options};

pub use self::table::room_table;
use crate::exit::{Exit, failure, usage_error};
use crate::flags::{self, required};
use crate::operator::client::{Client, parse, print_json};

const USAGE: &str = "usage: dalestand room --node ADDRESS [--json]";

/// Where a node's metrics address has the report.
const PATH: &str = "/room";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("n", "node", "metrics address of any node", "ADDRESS");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "show this help");
    options
}

/// Prints what a node knows.
pub fn run(arguments: &[String]) -> Exit {
    let options = options();
    let matches = match flags::parse(&options, USAGE, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    match node(&matches) {
        Ok(node) => {
            let json = matches.opt_present("json");
            actix_rt::System::new().block_on(print(node, json))
        }
        Err(faults) => usage_error(faults.join("\n")),
    }
}

/// The node that the flags name, or every fault in them.
fn node(matches: &Matches) -> Result<SocketAddr, Vec<String>> {
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
    let body = match Client::new(node).get(PATH).await {
        Ok(body) => body,
        Err(error) => return failure(error),
    };
    match parse::<CapacityReport>(&body) {
        // A report of a newer build has more in it than this program knows.
        Ok(_) if json => print_json(&body),
        Ok(report) => print!("{}", room_table(&report)),
        Err(error) => return failure(error),
    }
    Exit::Success
}

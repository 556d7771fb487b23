//! `dalestand`: runs nodes, and commands for their operators.

use std::process::ExitCode;

use dalestand_cmd::exit::{Exit, usage_error};
use dalestand_cmd::{dev, forward, node, room, stopped};

const USAGE: &str = "usage: dalestand COMMAND [flags]

commands:
  node      run a node that serves the OpenAI-compatible API
  forward   run a node that forwards opaque requests by routes
  stopped   list requests that are refused because engines ended while running them, or release one
  room      show the fleet's capacity and demand by pool, as known to one node
  dev       run stand-ins and two nodes on loopback
  check     list every fault of a file

Each command has --help.";

fn main() -> ExitCode {
    dalestand_cmd::report::show_messages_only();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let exit = match arguments.split_first() {
        Some((command, rest)) => run(command, rest),
        None => usage_error(USAGE),
    };
    exit.into()
}

fn run(command: &str, arguments: &[String]) -> Exit {
    match command {
        "node" => node::run(arguments),
        "forward" => forward::run(arguments),
        "stopped" => stopped::run(arguments),
        "room" => room::run(arguments),
        "dev" => dev::run(arguments),
        "check" => node::check(arguments),
        "--help" | "-h" | "help" => {
            println!("{USAGE}");
            Exit::Success
        }
        _ => usage_error(USAGE),
    }
}

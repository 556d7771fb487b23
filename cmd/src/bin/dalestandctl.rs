//! `dalestandctl`: operator commands; see `dalestand_cmd::operator`.

use std::process::ExitCode;

fn main() -> ExitCode {
    dalestand_cmd::report::show_messages_only();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    dalestand_cmd::operator::run(&arguments).into()
}

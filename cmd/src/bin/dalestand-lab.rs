//! `dalestand-lab`: load generation and experiments.

use std::process::ExitCode;

use dalestand_cmd::exit::Exit;
use dalestand_lab::{COMMANDS, LabError};

fn main() -> ExitCode {
    dalestand_cmd::report::show_messages_only();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    run(&arguments).into()
}

fn run(arguments: &[String]) -> Exit {
    let Some((name, rest)) = arguments.split_first() else {
        print_usage();
        return Exit::Usage;
    };
    if name == "--help" || name == "-h" {
        print_usage();
        return Exit::Success;
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        print_usage();
        return Exit::Usage;
    };
    match (command.run)(rest) {
        Ok(()) => Exit::Success,
        Err(report) => {
            eprintln!("{report:?}");
            match report.current_context() {
                LabError::Usage(_) => Exit::Usage,
                LabError::Failed(_) => Exit::Failure,
            }
        }
    }
}

fn print_usage() {
    eprintln!("usage: dalestand-lab COMMAND [flags]");
    for command in COMMANDS {
        eprintln!("  {:<10} {}", command.name, command.summary);
    }
}

//! The hollow experiment runs through and refuses flags that make no sense.

use dalestand_lab::{COMMANDS, LabError};

fn hollow(flags: &str) -> Result<(), LabError> {
    let arguments: Vec<String> = flags.split_whitespace().map(str::to_owned).collect();
    let commands = &mut COMMANDS.iter();
    let command = commands.find(|command| command.name == "hollow");
    let run = command.expect("the command is listed").run;
    run(&arguments).map_err(|report| report.current_context().clone())
}

#[test]
fn a_small_fleet_joins_applies_loses_and_replaces_nodes() {
    let flags = "--nodes 6 --engines 6 --zones 2 --seconds 1 --applies 2 --kill 1 --replace 1";
    assert_eq!(hollow(flags), Ok(()));
}

#[test]
fn flags_that_make_no_sense_are_refused() {
    for flags in [
        "--nodes 1 --zones 2",
        "--loss 1.5",
        "--threads 0",
        "--nodes 4 --zones 2 --kill 4",
        "--nodes many",
        "--unknown",
    ] {
        let refused = hollow(flags);
        assert!(
            matches!(refused, Err(LabError::Usage(_))),
            "{flags}: {refused:?}"
        );
    }
}

//! `hollow`: many nodes without callers in one process, to measure what control costs.
//!
//! Each hollow node runs the control half of the product over loopback UDP and TCP. Engines, the
//! key-value service and the machine list are the stand-ins, on a thread of their own, so that the
//! processor time of the nodes' threads is the nodes' alone.

mod deployment;
mod fleet;
mod link;
mod measure;
mod options;
mod phases;
mod platform;
mod report;
mod worker;

use error_stack::Report;

use crate::LabError;

use options::Options;

/// Runs the experiment that the arguments describe.
pub fn run(arguments: &[String]) -> Result<(), Report<LabError>> {
    let Some(options) = Options::parse(arguments)? else {
        return Ok(());
    };
    let json = options.json;
    let report = actix_rt::System::new().block_on(phases::run(options))?;
    if json {
        let text = serde_json::to_string_pretty(&report).map_err(|error| failed(&error))?;
        println!("{text}");
    } else {
        println!("{report}");
    }
    Ok(())
}

/// The experiment could not be carried out.
fn failed(error: &dyn std::fmt::Display) -> Report<LabError> {
    Report::new(LabError::Failed(error.to_string()))
}

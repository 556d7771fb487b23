//! `dalestand-lab load`: a fixed number of streams against a node, straight against an engine, or
//! both in the same run, so that what the node adds can be told.

mod measurement;
mod options;
mod process;
mod report;
mod stream;

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use error_stack::{Report, ResultExt as _};
use tokio::sync::mpsc;

use crate::LabError;
use measurement::Measurement;
use options::{LoadOptions, Side};
use process::ProcessUsage;
use report::{Comparison, NodeUsage, SideReport};

/// Time over which the streams of a run begin, so that their requests do not come at one moment.
const START_SPREAD: Duration = Duration::from_secs(1);

/// How long the node is watched without load.
const IDLE_SAMPLE: Duration = Duration::from_secs(2);

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<(), Report<LabError>> {
    let Some(options) = LoadOptions::parse(arguments)? else {
        return Ok(());
    };
    let options = Arc::new(options);
    let json = options.json;
    let comparison = actix_rt::System::new().block_on(compare(options))?;
    comparison.print(json)
}

/// Measures each side at each number of streams, one after the other.
async fn compare(options: Arc<LoadOptions>) -> Result<Comparison, Report<LabError>> {
    let idle_share = match options.pid {
        Some(pid) => Some(idle_share(pid).await?),
        None => None,
    };
    let mut reports = Vec::new();
    for streams in &options.streams {
        for side in options.sides() {
            reports.push(measure(&options, side, *streams, idle_share).await?);
        }
    }
    Ok(Comparison {
        idle_share,
        reports,
    })
}

/// Share of a processor that the process uses without load.
async fn idle_share(pid: u32) -> Result<f64, Report<LabError>> {
    let before = usage(pid)?;
    let started = Instant::now();
    actix_rt::time::sleep(IDLE_SAMPLE).await;
    let used = usage(pid)?.processor - before.processor;
    Ok(used.as_secs_f64() / started.elapsed().as_secs_f64())
}

async fn measure(
    options: &Arc<LoadOptions>,
    side: Side,
    streams: usize,
    idle_share: Option<f64>,
) -> Result<SideReport, Report<LabError>> {
    let pid = options.pid.filter(|_| side == Side::Node);
    let before = pid.map(usage).transpose()?;
    let started = Instant::now();
    let arbiters: Vec<Arbiter> = (0..options.threads).map(|_| Arbiter::new()).collect();
    let mut receiver = start_streams(options, side, streams, &arbiters);
    actix_rt::time::sleep(options.duration / 2).await;
    let during = pid.map(usage).transpose()?;
    let mut total = Measurement::new();
    while let Some(measured) = receiver.recv().await {
        total.add(&measured);
    }
    let elapsed = started.elapsed();
    let after = pid.map(usage).transpose()?;
    for arbiter in arbiters {
        arbiter.stop();
    }
    let samples = idle_share.zip(before).zip(during.zip(after));
    let node = samples.map(|((idle_share, before), (during, after))| NodeUsage {
        idle_share,
        before,
        during,
        after,
    });
    Ok(SideReport::new(side, streams, &total, elapsed, node))
}

/// Starts the streams, spread over the arbiters; each sends what it measured once it is over.
fn start_streams(
    options: &Arc<LoadOptions>,
    side: Side,
    streams: usize,
    arbiters: &[Arbiter],
) -> mpsc::UnboundedReceiver<Measurement> {
    let deadline = Instant::now() + options.duration;
    let (sender, receiver) = mpsc::unbounded_channel();
    for number in 0..streams {
        let options = Arc::clone(options);
        let sender = sender.clone();
        let delay = START_SPREAD.mul_f64(number as f64 / streams as f64);
        arbiters[number % arbiters.len()].spawn_fn(move || {
            actix_rt::spawn(async move {
                let measured = stream::run_until(&options, side, number, delay, deadline).await;
                // The receiver lives until every sender is gone.
                let _ = sender.send(measured);
            });
        });
    }
    receiver
}

fn usage(pid: u32) -> Result<ProcessUsage, Report<LabError>> {
    ProcessUsage::read(pid)
        .change_context_lazy(|| LabError::Failed(format!("process {pid} cannot be read")))
}

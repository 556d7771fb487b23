//! `dalestand-lab load`: runs a fixed number of streams against a node, directly against an engine,
//! or against both one after the other, to measure the latency that the node adds.

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
use options::{LoadOptions, Target};
use process::ProcessUsage;
use report::{Comparison, NodeUsage, TargetReport};

/// Period over which the streams of a run start, so that their requests do not arrive all at once.
const START_SPREAD: Duration = Duration::from_secs(1);

/// Time over which the idle node's processor time is measured.
const IDLE_SAMPLE_TIME: Duration = Duration::from_secs(2);

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

/// Measures each target at each number of streams, one after the other.
async fn compare(options: Arc<LoadOptions>) -> Result<Comparison, Report<LabError>> {
    let idle_share = match options.pid {
        Some(pid) => Some(idle_share(pid).await?),
        None => None,
    };
    let mut reports = Vec::new();
    for streams in &options.streams {
        for target in options.targets() {
            reports.push(measure(&options, target, *streams, idle_share).await?);
        }
    }
    Ok(Comparison {
        idle_share,
        reports,
    })
}

/// Share of a processor that the idle process uses.
async fn idle_share(pid: u32) -> Result<f64, Report<LabError>> {
    let before = usage(pid)?;
    let started = Instant::now();
    actix_rt::time::sleep(IDLE_SAMPLE_TIME).await;
    let used = usage(pid)?.cpu_time - before.cpu_time;
    Ok(used.as_secs_f64() / started.elapsed().as_secs_f64())
}

async fn measure(
    options: &Arc<LoadOptions>,
    target: Target,
    streams: usize,
    idle_share: Option<f64>,
) -> Result<TargetReport, Report<LabError>> {
    let pid = options.pid.filter(|_| target == Target::Node);
    let before = pid.map(usage).transpose()?;
    let started = Instant::now();
    let arbiters: Vec<Arbiter> = (0..options.threads).map(|_| Arbiter::new()).collect();
    let mut receiver = start_streams(options, target, streams, &arbiters);
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
    Ok(TargetReport::new(target, streams, &total, elapsed, node))
}

/// Starts the streams, distributed over the arbiters; each sends its measurement when it ends.
fn start_streams(
    options: &Arc<LoadOptions>,
    target: Target,
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
                let measured = stream::run_until(&options, target, number, delay, deadline).await;
                // The receiver is open until all senders are dropped.
                let _ = sender.send(measured);
            });
        });
    }
    receiver
}

fn usage(pid: u32) -> Result<ProcessUsage, Report<LabError>> {
    ProcessUsage::read(pid).change_context_lazy(|| {
        LabError::Failed(format!("cannot read the resource usage of process {pid}"))
    })
}

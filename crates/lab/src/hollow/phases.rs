//! The phases of an experiment: join, window, applies, deaths, cut.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use dalestand_types::{Revision, ZoneName};
use error_stack::Report;

use super::deployment;
use super::failed;
use super::fleet::{Fleet, Watched};
use super::measure::resident_bytes;
use super::options::Options;
use super::platform::Platform;
use super::report::{HollowReport, Times};
use crate::LabError;

/// Longest wait for anything; only a fault reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(120);

/// Pause between two looks at the nodes.
const POLL: Duration = Duration::from_millis(5);

/// Longest pause after the join, so that its traffic is not measured with the window; no longer
/// than the window.
const SETTLE: Duration = Duration::from_secs(10);

/// How long a zone is cut off.
const CUT: Duration = Duration::from_secs(15);

/// Runs all phases.
pub(super) async fn run(options: Options) -> Result<HollowReport, Report<LabError>> {
    let platform = Platform::start(&options).await?;
    let memory_before = resident_bytes().map_err(|error| failed(&error))?;
    let started = Instant::now();
    let mut fleet = Fleet::start(&options, &platform).await?;
    let text = deployment::text(&options, 0);
    let deployment_bytes = text.len();
    fleet.apply(0, text).await?;
    wait_until("all nodes joined", || is_joined(&fleet, &options)).await?;
    let mut report = HollowReport {
        nodes: options.nodes,
        engines: options.engines,
        tenants: options.tenants,
        deployment_bytes,
        machine_list_bytes: platform.machine_list_bytes().await?,
        load_report_bytes: platform.load_report_bytes().await?,
        loss: options.loss,
        join_seconds: started.elapsed().as_secs_f64(),
        join_key_value_calls: platform.key_value_calls().await?,
        ..HollowReport::default()
    };
    sleep(SETTLE.min(options.window)).await;
    measure_window(&options, &platform, &fleet, &mut report).await?;
    let memory = resident_bytes().map_err(|error| failed(&error))?;
    report.memory_bytes = memory.saturating_sub(memory_before) as f64 / options.nodes as f64;
    measure_applies(&options, &fleet, &mut report).await?;
    report.false_alarms = lost_members(&fleet);
    report.death_noticed = measure_deaths(&options, &mut fleet).await?;
    measure_replacements(&options, &platform, &mut fleet, &mut report).await?;
    if options.cut_zone {
        measure_cut(&options, &fleet, &mut report).await?;
    }
    Ok(report)
}

fn is_joined(fleet: &Fleet, options: &Options) -> bool {
    fleet.nodes.iter().all(|node| {
        node.members() == options.nodes - 1
            && node.revision() > Revision(0)
            && node.shared.fleet.load().engines.len() == options.engines
    })
}

async fn measure_window(
    options: &Options,
    platform: &Platform,
    fleet: &Fleet,
    report: &mut HollowReport,
) -> Result<(), Report<LabError>> {
    let calls = platform.key_value_calls().await?;
    let cpu = fleet.cpu_time().await?;
    let sent = bytes_sent(fleet);
    let received = sum(fleet, |metrics| metrics.peer_bytes_received.get());
    let datagrams = sum(fleet, |metrics| metrics.peer_datagrams_sent.get());
    let start = Instant::now();
    sleep(options.window).await;
    let seconds = start.elapsed().as_secs_f64();
    let per_node = 1.0 / (seconds * options.nodes as f64);
    report.window_seconds = seconds;
    report.cpu_share_of_core = (fleet.cpu_time().await? - cpu) as f64 / 1e9 * per_node;
    let grown: Vec<u64> = bytes_sent(fleet)
        .iter()
        .zip(&sent)
        .map(|(after, before)| after - before)
        .collect();
    report.sent_bytes_per_second = grown.iter().sum::<u64>() as f64 * per_node;
    let most = grown.iter().max().copied().unwrap_or(0);
    report.most_sent_bytes_per_second = most as f64 / seconds;
    let received = sum(fleet, |metrics| metrics.peer_bytes_received.get()) - received;
    report.received_bytes_per_second = received as f64 * per_node;
    let datagrams = sum(fleet, |metrics| metrics.peer_datagrams_sent.get()) - datagrams;
    report.sent_datagrams_per_second = datagrams as f64 * per_node;
    let calls = platform.key_value_calls().await? - calls;
    report.key_value_calls_per_second = calls as f64 / seconds;
    Ok(())
}

/// Applies configurations one after the other, each through another node. What a node spends
/// beyond its share in the window is the cost of the applies.
async fn measure_applies(
    options: &Options,
    fleet: &Fleet,
    report: &mut HollowReport,
) -> Result<(), Report<LabError>> {
    let mut samples = Vec::new();
    let cpu = fleet.cpu_time().await?;
    let start = Instant::now();
    for edition in 1..=options.applies {
        let number = edition * 31 % options.nodes;
        let text = deployment::text(options, edition);
        let revision = fleet.apply(number, text).await?;
        samples.extend(times_in_force(fleet, revision).await?);
    }
    let cpu = (fleet.cpu_time().await? - cpu) as f64 / 1e9 / options.nodes as f64;
    let usual = report.cpu_share_of_core * start.elapsed().as_secs_f64();
    if options.applies > 0 {
        report.cpu_seconds_per_apply = Some((cpu - usual) / options.applies as f64);
    }
    report.apply_in_force = Times::of(samples);
    Ok(())
}

async fn times_in_force(
    fleet: &Fleet,
    revision: Revision,
) -> Result<Vec<Duration>, Report<LabError>> {
    times_until(fleet, "a revision in force", |node| {
        node.revision() >= revision
    })
    .await
}

/// Waits until a condition holds at every live node and yields how long it took at each.
async fn times_until(
    fleet: &Fleet,
    what: &str,
    condition: impl Fn(&Watched) -> bool,
) -> Result<Vec<Duration>, Report<LabError>> {
    let start = Instant::now();
    let mut waiting: Vec<&Watched> = fleet.live().collect();
    let mut samples = Vec::new();
    while !waiting.is_empty() {
        if start.elapsed() > WAIT_LIMIT {
            return Err(failed(&format!("never came true everywhere: {what}")));
        }
        waiting.retain(|node| {
            let holds = condition(node);
            if holds {
                samples.push(start.elapsed());
            }
            !holds
        });
        sleep(POLL).await;
    }
    Ok(samples)
}

async fn measure_deaths(
    options: &Options,
    fleet: &mut Fleet,
) -> Result<Option<Times>, Report<LabError>> {
    let mut samples = Vec::new();
    for death in 0..options.kills {
        fleet.kill(options.nodes - 1 - death)?;
        let others = fleet.live().count() - 1;
        let noticed = times_until(fleet, "a death noticed", |node| node.members() == others);
        samples.extend(noticed.await?);
    }
    Ok(Times::of(samples))
}

/// Replaces nodes one after the other, each once the one before has joined.
async fn measure_replacements(
    options: &Options,
    platform: &Platform,
    fleet: &mut Fleet,
    report: &mut HollowReport,
) -> Result<(), Report<LabError>> {
    if options.replaced == 0 {
        return Ok(());
    }
    let revision = fleet
        .live()
        .map(Watched::revision)
        .max()
        .unwrap_or_default();
    let calls = platform.key_value_calls().await?;
    let start = Instant::now();
    let mut samples = Vec::new();
    for number in 0..options.replaced {
        fleet.replace(number, platform).await?;
        let replaced = Instant::now();
        wait_until("the new node serves and all know it", || {
            knows_the_living(fleet) && fleet.live().all(|node| node.revision() >= revision)
        })
        .await?;
        samples.push(replaced.elapsed());
    }
    let calls = platform.key_value_calls().await? - calls;
    let rate = calls as f64 / start.elapsed().as_secs_f64();
    report.replacement_key_value_calls_per_second = Some(rate);
    report.replaced = Times::of(samples);
    Ok(())
}

/// Cuts a zone off, applies a configuration outside it, and heals the cut.
async fn measure_cut(
    options: &Options,
    fleet: &Fleet,
    report: &mut HollowReport,
) -> Result<(), Report<LabError>> {
    let zone: ZoneName = deployment::zone(options, 1);
    fleet.links.cut(Some(zone.clone()));
    sleep(CUT).await;
    let mut nodes = fleet.nodes.iter();
    let outside = nodes.position(|node| node.alive && node.zone != zone);
    let outside = outside.ok_or_else(|| failed(&"every live node is in the zone"))?;
    let edition = options.applies + 1;
    let text = deployment::text(options, edition);
    let revision = fleet.apply(outside, text).await?;
    fleet.links.cut(None);
    let healed = Instant::now();
    let sent: u64 = bytes_sent(fleet).iter().sum();
    wait_until("the configuration is in force again", || {
        fleet.live().all(|node| node.revision() >= revision)
    })
    .await?;
    report.cut_in_force_seconds = Some(healed.elapsed().as_secs_f64());
    wait_until("the fleet is whole again", || {
        knows_the_living(fleet) && fleet.live().all(|node| node.revision() >= revision)
    })
    .await?;
    let seconds = healed.elapsed().as_secs_f64();
    let sent = bytes_sent(fleet).iter().sum::<u64>() - sent;
    report.cut_healed_seconds = Some(seconds);
    let per_node = 1.0 / (seconds * fleet.live().count() as f64);
    report.heal_sent_bytes_per_second = Some(sent as f64 * per_node);
    Ok(())
}

fn knows_the_living(fleet: &Fleet) -> bool {
    let live = fleet.live().count();
    fleet.live().all(|node| node.members() == live - 1)
}

fn lost_members(fleet: &Fleet) -> u64 {
    sum(fleet, |metrics| metrics.members_lost.get())
}

fn bytes_sent(fleet: &Fleet) -> Vec<u64> {
    let nodes = fleet.nodes.iter();
    nodes
        .map(|node| node.shared.metrics.peer_bytes_sent.get())
        .collect()
}

fn sum(fleet: &Fleet, count: impl Fn(&dalestand_telemetry::Metrics) -> u64) -> u64 {
    fleet
        .nodes
        .iter()
        .map(|node| count(&node.shared.metrics))
        .sum()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) -> Result<(), Report<LabError>> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > WAIT_LIMIT {
            return Err(failed(&format!("never came true: {what}")));
        }
        sleep(POLL).await;
    }
    Ok(())
}

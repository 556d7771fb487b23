//! `dalestand dev`: runs stand-ins and two nodes in one process on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::Arbiter;
use dalestand_config::{Deployment, NodeSettings};
use dalestand_node::{
    ApplyRequest, ApplyResponse, EngineRow, Listeners, NodeAddresses, StatusResponse,
};
use dalestand_standin::engine::{BatchSettings, EngineSettings, serve_engine};
use dalestand_standin::key_value::serve_key_value;
use dalestand_standin::machine_list::serve_machine_list;
use dalestand_telemetry::{LogOutput, logger};
use dalestand_types::{
    EngineId, Incarnation, Machine, MachineKind, MachineState, NodeId, Role, ZoneName,
};
use getopts::Options;
use tokio::net::TcpListener;

use crate::exit::{Exit, failure, usage_error};
use crate::files;
use crate::flags::{self, optional};

/// The deployment that is applied by default.
const EXAMPLE: &str = include_str!("../../examples/lakeshore.toml");

const DEFAULT_LISTEN: ([u8; 4], u16) = ([127, 0, 0, 1], 8080);
const DEFAULT_OPERATORS: ([u8; 4], u16) = ([127, 0, 0, 1], 8081);
/// Duration of a role change of an engine.
const ROLE_CHANGE_TIME: Duration = Duration::from_secs(2);

/// Time an engine takes to load a model or an adapter.
const LOAD_TIME: Duration = Duration::from_millis(50);

/// Short, because a node waits several lease times before it acquires the lease of a zone without a node.
const LEASE_MS: u64 = 1_000;
const MACHINE_POLL_MS: u64 = 500;
const LOAD_POLL_MS: u64 = 300;
const READY_POLL: Duration = Duration::from_millis(100);

/// Runs the stand-ins and two nodes until interrupted.
pub fn run(arguments: &[String]) -> Exit {
    let mut options = Options::new();
    options.optopt(
        "",
        "listen",
        "address for callers (default 127.0.0.1:8080)",
        "ADDRESS",
    );
    options.optopt(
        "",
        "operators",
        "address for operators (default 127.0.0.1:8081)",
        "ADDRESS",
    );
    options.optopt(
        "",
        "deployment",
        "deployment file (default: the Lakeshore example)",
        "FILE",
    );
    options.optflag("h", "help", "show this help");
    let matches = match flags::parse(&options, "usage: dalestand dev [flags]", arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let addresses = optional(&matches, "listen").and_then(|listen| {
        let operators = optional(&matches, "operators")?;
        Ok((
            listen.unwrap_or_else(|| SocketAddr::from(DEFAULT_LISTEN)),
            operators.unwrap_or_else(|| SocketAddr::from(DEFAULT_OPERATORS)),
        ))
    });
    let (callers, operators) = match addresses {
        Ok(addresses) => addresses,
        Err(error) => return usage_error(error),
    };
    let text = match matches.opt_str("deployment").map(|path| files::read(&path)) {
        Some(Ok(text)) => text,
        Some(Err(error)) => return usage_error(error),
        None => EXAMPLE.to_owned(),
    };
    let deployment = match Deployment::parse(&text) {
        Ok(deployment) => deployment,
        Err(faults) => return usage_error(faults),
    };
    actix_rt::System::new().block_on(async move {
        match start(callers, operators, text, deployment).await {
            Ok(()) => Exit::Success,
            Err(message) => failure(message),
        }
    })
}

/// Starts a stand-in on its own arbiter and returns its address.
fn start_standin<S>(serve: S) -> Result<SocketAddr, String>
where
    S: FnOnce(TcpListener) + Send + 'static,
{
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).map_err(|e| e.to_string())?;
    listener
        .set_nonblocking(true)
        .map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Arbiter::new().spawn_fn(move || {
        if let Ok(listener) = TcpListener::from_std(listener) {
            serve(listener);
        }
    });
    Ok(address)
}

async fn start(
    callers: SocketAddr,
    operators: SocketAddr,
    text: String,
    deployment: Deployment,
) -> Result<(), String> {
    let key_value = start_standin(|listener| drop(actix_rt::spawn(serve_key_value(listener))))?;
    let machine_list =
        start_standin(|listener| drop(actix_rt::spawn(serve_machine_list(listener))))?;
    for group in &deployment.groups {
        for engine in &group.engines {
            let address = start_engine(engine.clone())?;
            let name = engine.as_str();
            register(
                machine_list,
                name,
                MachineKind::Engine,
                &group.zone,
                address,
            )
            .await?;
        }
    }
    let (first_zone, second_zone) = two_zones(&deployment)?;
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let first = node_settings(
        "node-1",
        &first_zone,
        callers,
        operators,
        key_value,
        machine_list,
    );
    let second = node_settings(
        "node-2",
        &second_zone,
        free_port,
        free_port,
        key_value,
        machine_list,
    );
    let log = logger(LogOutput::Terminal);
    let mut runs = Vec::new();
    let mut nodes: Vec<NodeAddresses> = Vec::new();
    for settings in [first, second] {
        let listeners = Listeners::open(&settings)
            .await
            .map_err(|report| format!("{report:?}"))?;
        let peers = listeners.addresses().peers;
        let name = settings.node.as_str().to_owned();
        register(
            machine_list,
            &name,
            MachineKind::Node,
            &settings.zone,
            peers,
        )
        .await?;
        nodes.push(listeners.addresses());
        runs.push(actix_rt::spawn(dalestand_node::run(
            settings,
            listeners,
            log.clone(),
        )));
    }
    apply(nodes[0].operators, text).await?;
    // Wait in a separate task, so that a stop need not wait until the fleet is ready.
    actix_rt::spawn(async move {
        if wait_until_ready(nodes[0].operators, &deployment)
            .await
            .is_ok()
        {
            print_ready(&nodes, &deployment);
        }
    });
    for run in runs {
        let ended = run.await.map_err(|error| error.to_string())?;
        ended.map_err(|report| format!("{report:?}"))?;
    }
    Ok(())
}

/// Zones of the two nodes: the first two zones of the deployment, or its only zone twice.
fn two_zones(deployment: &Deployment) -> Result<(ZoneName, ZoneName), String> {
    let mut zones = deployment.groups.iter().map(|group| &group.zone);
    let first = zones.next().ok_or("the deployment has no [[group]]")?;
    let second = zones.find(|zone| *zone != first).unwrap_or(first);
    Ok((first.clone(), second.clone()))
}

fn start_engine(engine: EngineId) -> Result<SocketAddr, String> {
    let settings = EngineSettings {
        engine,
        incarnation: Incarnation(1),
        role: Role::Mixed,
        batch: BatchSettings::default(),
        role_change_time: ROLE_CHANGE_TIME,
        load_time: LOAD_TIME,
        log_to_stdout: false,
    };
    start_standin(move |listener| drop(actix_rt::spawn(serve_engine(listener, settings))))
}

async fn register(
    machine_list: SocketAddr,
    name: &str,
    kind: MachineKind,
    zone: &ZoneName,
    address: SocketAddr,
) -> Result<(), String> {
    let machine = Machine {
        name: name.to_owned(),
        kind,
        zone: zone.clone(),
        address,
        incarnation: Incarnation(1),
        state: MachineState::Live,
    };
    let url = format!("http://{machine_list}/v1/machines");
    let sent = awc::Client::default().post(url).send_json(&machine);
    sent.await.map_err(|error| error.to_string())?;
    Ok(())
}

fn node_settings(
    name: &str,
    zone: &ZoneName,
    callers: SocketAddr,
    operators: SocketAddr,
    key_value: SocketAddr,
    machine_list: SocketAddr,
) -> NodeSettings {
    NodeSettings {
        node: NodeId::from(name),
        zone: zone.clone(),
        caller_listen: callers,
        operator_listen: operators,
        peer_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        key_value,
        machine_list,
        seeds: Vec::new(),
        log_format: dalestand_config::LogFormat::Terminal,
        lease_ms: LEASE_MS,
        machine_poll_ms: MACHINE_POLL_MS,
        load_poll_ms: LOAD_POLL_MS,
        operator_key_blake3: None,
        peer_key: None,
    }
}

async fn apply(operators: SocketAddr, text: String) -> Result<(), String> {
    let request = ApplyRequest {
        text,
        author: "dalestand dev".to_owned(),
        expected: None,
    };
    let url = format!("http://{operators}/apply");
    let sent = awc::Client::default().post(url).send_json(&request);
    let mut response = sent.await.map_err(|error| error.to_string())?;
    let answer: ApplyResponse = response.json().await.map_err(|error| error.to_string())?;
    answer.error.map_or(Ok(()), Err)
}

async fn wait_until_ready(operators: SocketAddr, deployment: &Deployment) -> Result<(), String> {
    let wanted: usize = deployment
        .groups
        .iter()
        .map(|group| group.engines.len())
        .sum();
    loop {
        let url = format!("http://{operators}/status");
        let sent = awc::Client::default().get(url).send();
        let mut response = sent.await.map_err(|error| error.to_string())?;
        let status: StatusResponse = response.json().await.map_err(|error| error.to_string())?;
        let serving = status.engines.iter().filter(|row| is_serving(row));
        if status.ready && serving.count() == wanted {
            return Ok(());
        }
        actix_rt::time::sleep(READY_POLL).await;
    }
}

fn is_serving(row: &EngineRow) -> bool {
    row.accepting && row.role.is_some() && !row.models.is_empty()
}

fn print_ready(nodes: &[NodeAddresses], deployment: &Deployment) {
    for node in nodes {
        println!(
            "node: callers http://{}, operators http://{}",
            node.callers, node.operators
        );
    }
    println!("ready http://{}", nodes[0].callers);
    let Some(model) = deployment.models.first().map(|model| &model.name) else {
        return;
    };
    println!("try:");
    println!(
        "  curl -N http://{}/v1/completions -H 'content-type: application/json' \\\n    \
         -d '{{\"model\":\"{model}\",\"prompt\":\"a glass plate of a harbour\",\
         \"max_tokens\":20,\"stream\":true}}'",
        nodes[0].callers
    );
}

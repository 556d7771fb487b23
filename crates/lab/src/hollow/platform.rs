//! The stand-ins of a hollow fleet, on one thread.

use std::net::SocketAddr;

use actix_rt::Arbiter;
use dalestand_edge::wire::engine::LOAD;
use dalestand_edge::wire::machine_list::MACHINES;
use dalestand_standin::engine::{BatchSettings, EngineSettings, serve_engine};
use dalestand_standin::key_value::serve_key_value;
use dalestand_standin::machine_list::serve_machine_list;
use dalestand_types::{EngineId, Incarnation, Machine, MachineKind, MachineState, Role, ZoneName};
use error_stack::Report;
use tokio::net::TcpListener;

use super::deployment::{engine_name, zone};
use super::failed;
use super::options::Options;
use crate::LabError;

/// Largest answer whose size is asked for.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Where the stand-ins listen.
pub(super) struct Platform {
    /// The key-value service.
    pub(super) key_value: SocketAddr,
    /// The machine list.
    pub(super) machine_list: SocketAddr,
    /// The first engine.
    engine: Option<SocketAddr>,
    client: awc::Client,
}

impl Platform {
    /// Starts the stand-ins and lists the engines.
    pub(super) async fn start(options: &Options) -> Result<Self, Report<LabError>> {
        let arbiter = Arbiter::new();
        let key_value = serve_on(&arbiter, |listener| {
            drop(actix_rt::spawn(serve_key_value(listener)));
        })?;
        let machine_list = serve_on(&arbiter, |listener| {
            drop(actix_rt::spawn(serve_machine_list(listener)));
        })?;
        let mut platform = Self {
            key_value,
            machine_list,
            engine: None,
            client: awc::Client::default(),
        };
        for number in 0..options.engines {
            let name = engine_name(number);
            let settings = engine_settings(&name);
            let address = serve_on(&arbiter, move |listener| {
                drop(actix_rt::spawn(serve_engine(listener, settings)));
            })?;
            platform.engine.get_or_insert(address);
            let zone = zone(options, number);
            platform
                .list(name, MachineKind::Engine, zone, address)
                .await?;
        }
        Ok(platform)
    }

    /// Puts a machine on the list.
    pub(super) async fn list(
        &self,
        name: String,
        kind: MachineKind,
        zone: ZoneName,
        address: SocketAddr,
    ) -> Result<(), Report<LabError>> {
        let machine = Machine {
            name,
            kind,
            zone,
            address,
            incarnation: Incarnation(1),
            state: MachineState::Live,
        };
        let url = format!("http://{}/v1/machines", self.machine_list);
        let sent = self.client.post(url).send_json(&machine).await;
        sent.map(drop).map_err(|error| failed(&error))
    }

    /// Calls of the key-value service since its start.
    pub(super) async fn key_value_calls(&self) -> Result<u64, Report<LabError>> {
        let url = format!("http://{}/calls", self.key_value);
        let sent = self.client.get(url).send().await;
        let mut answer = sent.map_err(|error| failed(&error))?;
        answer.json().await.map_err(|error| failed(&error))
    }
}

impl Platform {
    /// Bytes of the whole machine list, without the answer's head.
    pub(super) async fn machine_list_bytes(&self) -> Result<usize, Report<LabError>> {
        self.body_bytes(self.machine_list, MACHINES).await
    }

    /// Bytes of one engine's load report, without the answer's head.
    pub(super) async fn load_report_bytes(&self) -> Result<usize, Report<LabError>> {
        let engine = self.engine.ok_or_else(|| failed(&"there is no engine"))?;
        self.body_bytes(engine, LOAD).await
    }

    async fn body_bytes(&self, address: SocketAddr, path: &str) -> Result<usize, Report<LabError>> {
        let sent = self.client.get(format!("http://{address}{path}")).send();
        let mut answer = sent.await.map_err(|error| failed(&error))?;
        let body = answer.body().limit(MAX_BODY_BYTES).await;
        body.map(|body| body.len()).map_err(|error| failed(&error))
    }
}

fn engine_settings(name: &str) -> EngineSettings {
    EngineSettings {
        engine: EngineId::from(name),
        incarnation: Incarnation(1),
        role: Role::Mixed,
        batch: BatchSettings::default(),
        role_change: std::time::Duration::from_secs(2),
        load: std::time::Duration::ZERO,
        log_to_stdout: false,
    }
}

fn serve_on<S>(arbiter: &Arbiter, serve: S) -> Result<SocketAddr, Report<LabError>>
where
    S: FnOnce(TcpListener) + Send + 'static,
{
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).map_err(|error| failed(&error))?;
    listener
        .set_nonblocking(true)
        .map_err(|error| failed(&error))?;
    let address = listener.local_addr().map_err(|error| failed(&error))?;
    arbiter.spawn_fn(move || {
        if let Ok(listener) = TcpListener::from_std(listener) {
            serve(listener);
        }
    });
    Ok(address)
}

//! The platform's machine list.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::Machine;
use error_stack::Report;

use crate::PlatformError;
use crate::http::JsonClient;
use crate::wire::machine_list::{MACHINES, MachinesResponse};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Operations of the machine list.
#[async_trait(?Send)]
pub trait MachineList {
    /// Reads the whole list, which may be out of date.
    async fn machines(&self) -> Result<Vec<Machine>, Report<PlatformError>>;
}

/// HTTP client of the machine list.
pub struct HttpMachineList {
    client: JsonClient,
}

impl HttpMachineList {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: JsonClient::new("machine list", address, CALL_TIMEOUT, MAX_ANSWER_BYTES),
        }
    }
}

#[async_trait(?Send)]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, Report<PlatformError>> {
        let response: MachinesResponse = self.client.get(MACHINES).await?;
        Ok(response.machines)
    }
}

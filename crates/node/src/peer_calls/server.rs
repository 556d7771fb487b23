//! Server for calls of other nodes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_peer_seal::PeerSeal;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::message::{PeerRequest, PeerResponse, read_message, write_message};
use crate::claims::ClaimsDriver;
use crate::configuration::ConfigurationStore;
use crate::control_driver::ControlDriver;
use crate::tenant_demand::TenantDemandExchange;

/// Maximum number of calls served concurrently; further connections wait to be accepted.
const MAX_CALLS: usize = 1_024;

/// Timeout for reading the request and for writing the reply.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay after a failure to accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The components that handle calls.
struct PeerServer {
    seal: PeerSeal,
    claims: Rc<ClaimsDriver>,
    control: Rc<ControlDriver>,
    configuration: Rc<ConfigurationStore>,
    tenant_demand: Rc<TenantDemandExchange>,
}

/// Serves calls until dropped.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    seal: PeerSeal,
    claims: Rc<ClaimsDriver>,
    control: Rc<ControlDriver>,
    configuration: Rc<ConfigurationStore>,
    tenant_demand: Rc<TenantDemandExchange>,
) {
    let server = Rc::new(PeerServer {
        seal,
        claims,
        control,
        configuration,
        tenant_demand,
    });
    let calls = Arc::new(Semaphore::new(MAX_CALLS));
    loop {
        let Ok(permit) = Arc::clone(&calls).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Rc::clone(&server);
                actix_rt::spawn(async move {
                    // The calling node sees the failure of a call.
                    drop(server.serve(stream).await);
                    drop(permit);
                });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

impl PeerServer {
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let read = read_message(&mut stream, &self.seal);
        let request = actix_rt::time::timeout(MESSAGE_TIMEOUT, read).await??;
        let response = self.answer(request).await;
        let write = write_message(&mut stream, &self.seal, &response);
        actix_rt::time::timeout(MESSAGE_TIMEOUT, write).await?
    }

    async fn answer(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Claim { claim, node } => {
                PeerResponse::Claim(self.claims.claim_locally(claim, node).await)
            }
            PeerRequest::EndClaim { claim, state } => {
                self.claims.record_end_locally(claim, state);
                PeerResponse::Done
            }
            PeerRequest::KeptAnswer { request } => {
                PeerResponse::KeptAnswer(self.claims.kept_answer(request))
            }
            PeerRequest::TakeOver { group } => {
                self.control.take_over(&group);
                PeerResponse::Done
            }
            PeerRequest::TenantDemands { reporter, demands } => {
                PeerResponse::TenantDemands(self.tenant_demand.record_report(&reporter, &demands))
            }
            PeerRequest::Configuration(query) => {
                PeerResponse::Configuration(self.configuration.answer(&query))
            }
        }
    }
}

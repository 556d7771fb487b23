//! Opens connections directly or through other nodes, whichever comes first.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::connect::connect;
use crate::connection::Connection;
use crate::error::SendError;
use crate::link::{LinkLimits, LinkTarget};
use crate::paths::{AllowedPaths, Detour, DetourError, LinkObservation, LinkPaths, Path};

/// Head start of a direct connection before another node is asked for one: far longer than a connection takes on a link
/// that loses no packets.
const DIRECT_HEAD_START: Duration = Duration::from_millis(50);

/// Opens a connection.
pub(crate) async fn open(
    target: &LinkTarget,
    limits: &LinkLimits,
    paths: Option<&Rc<dyn LinkPaths>>,
    allowed: AllowedPaths,
) -> Result<Connection, SendError> {
    let Some(paths) = paths else {
        return open_directly(target, limits).await;
    };
    match (allowed, paths.prefers_detour()) {
        (AllowedPaths::DirectOnly, true) => {
            Err(SendError::NotSent("cut off from the engines".to_owned()))
        }
        (AllowedPaths::DirectOnly, false) => open_directly(target, limits).await,
        (AllowedPaths::Any, true) => open_detour_first(target, limits, &**paths).await,
        (AllowedPaths::Any, false) => open_direct_first(target, limits, &**paths).await,
    }
}

async fn open_directly(target: &LinkTarget, limits: &LinkLimits) -> Result<Connection, SendError> {
    let stream = connect(target.address, limits).await?;
    Ok(Connection::new(stream, Path::Direct))
}

fn carried(detour: Detour) -> Connection {
    Connection::new(detour.stream, Path::Detour(detour.carrier))
}

async fn open_direct_first(
    target: &LinkTarget,
    limits: &LinkLimits,
    paths: &dyn LinkPaths,
) -> Result<Connection, SendError> {
    let mut direct = pin!(open_directly(target, limits));
    match timeout(DIRECT_HEAD_START, &mut direct).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => {
            let detour = paths.open_detour(target).await;
            return after_direct_failure(target, paths, error, detour).await;
        }
        Err(_) => {}
    }
    let mut detour = pin!(paths.open_detour(target));
    tokio::select! {
        opened = &mut direct => match opened {
            Ok(connection) => Ok(connection),
            Err(error) => after_direct_failure(target, paths, error, detour.await).await,
        },
        opened = &mut detour => match opened {
            Ok(detour) => {
                paths.observe(LinkObservation::OpenFailed(target));
                Ok(carried(detour))
            }
            Err(failure) => match direct.await {
                Ok(connection) => Ok(connection),
                Err(error) => after_direct_failure(target, paths, error, Err(failure)).await,
            },
        },
    }
}

/// The connection through another node, or the error of the direct one as far as another node confirms it.
async fn after_direct_failure(
    target: &LinkTarget,
    paths: &dyn LinkPaths,
    error: SendError,
    detour: Result<Detour, DetourError>,
) -> Result<Connection, SendError> {
    let failure = match detour {
        Ok(detour) => {
            paths.observe(LinkObservation::OpenFailed(target));
            return Ok(carried(detour));
        }
        Err(failure) => failure,
    };
    let SendError::NoListener(message) = error else {
        return Err(error);
    };
    let is_confirmed = match failure {
        DetourError::NoListener => true,
        DetourError::NoPeers | DetourError::Unavailable => paths.confirms_refusal(target).await,
    };
    Err(if is_confirmed {
        SendError::NoListener(message)
    } else {
        SendError::Refused(message)
    })
}

async fn open_detour_first(
    target: &LinkTarget,
    limits: &LinkLimits,
    paths: &dyn LinkPaths,
) -> Result<Connection, SendError> {
    match paths.open_detour(target).await {
        Ok(detour) => Ok(carried(detour)),
        Err(DetourError::NoListener) => {
            Err(SendError::NoListener("as another node found".to_owned()))
        }
        Err(failure @ DetourError::NoPeers) => match open_directly(target, limits).await {
            Ok(connection) => Ok(connection),
            Err(error) => after_direct_failure(target, paths, error, Err(failure)).await,
        },
        // A request that is sent over links that are cut may have run. Trials show when they work again.
        Err(DetourError::Unavailable) => {
            let message = "cut off from the engines, and no other node reaches them";
            Err(SendError::NotSent(message.to_owned()))
        }
    }
}

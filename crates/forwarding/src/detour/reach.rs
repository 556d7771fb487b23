//! Direct connections that show whether this node reaches engines.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{sleep, timeout};
use dalestand_engine_link::LinkTarget;
use dalestand_routing::staged::EngineKey;
use rand::seq::IteratorRandom as _;
use tokio::net::TcpStream;

use crate::context::Context;
use crate::fleet::engines::engine_name;

/// Time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// A connection that is not reset within this time has reached its engine: a link that is cut may reset it late.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(20);

/// Engines that are tried before this node takes itself to be cut off.
const ENGINES_TRIED: usize = 3;

/// The engine of a connection's target.
pub(super) fn engine_of(target: &LinkTarget) -> EngineKey {
    EngineKey::of(engine_name(target))
}

/// Whether a connection to an engine can be opened directly and stays open.
pub(super) async fn reaches(context: &Context, address: SocketAddr) -> bool {
    let opened = timeout(CONNECT_TIMEOUT, context.link.open_directly(address)).await;
    match opened {
        Ok(Ok(stream)) => stays_open(&stream, SETTLE_TIME).await,
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Whether a new connection is neither closed nor reset within `time`.
pub(super) async fn stays_open(stream: &TcpStream, time: Duration) -> bool {
    sleep(time).await;
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Whether an engine other than `engine` accepts a connection of this node; also if there is no other.
pub(super) async fn reaches_another(context: Rc<Context>, engine: EngineKey) -> bool {
    let others: Vec<SocketAddr> = {
        let fleet = context.fleet();
        let others = fleet.engines().filter(|(_, other)| other.key != engine);
        let others = others.filter_map(|(_, other)| fleet.engine(other.key));
        let others = others.map(|other| other.address);
        others.sample(&mut rand::rng(), ENGINES_TRIED)
    };
    for address in &others {
        let opened = timeout(CONNECT_TIMEOUT, context.link.open_directly(*address)).await;
        if matches!(opened, Ok(Ok(_))) {
            return true;
        }
    }
    others.is_empty()
}

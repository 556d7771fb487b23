//! The platform's weight store.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use error_stack::Report;

use crate::PlatformError;
use crate::http::JsonCaller;
use crate::wire::weight_store::{FETCH, FetchRequest, FetchResponse};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What the weight store does.
#[async_trait(?Send)]
pub trait WeightStore {
    /// Asks for a transfer; yields how long it takes, or a refusal with a time to come back.
    async fn fetch(&self, name: &str, version: &str) -> Result<Duration, Report<PlatformError>>;
}

/// Client of the weight store over HTTP.
pub struct HttpWeightStore {
    caller: JsonCaller,
}

impl HttpWeightStore {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: JsonCaller::new("weight store", address, CALL_TIMEOUT),
        }
    }
}

#[async_trait(?Send)]
impl WeightStore for HttpWeightStore {
    async fn fetch(&self, name: &str, version: &str) -> Result<Duration, Report<PlatformError>> {
        let request = FetchRequest {
            name: name.to_owned(),
            version: version.to_owned(),
        };
        let response: FetchResponse = self.caller.post(FETCH, &request).await?;
        Ok(Duration::from_millis(response.transfer_ms))
    }
}

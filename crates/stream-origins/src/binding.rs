//! The engines that may go on with a stream.

use dalestand_types::{PoolName, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// The engines that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Their pool. Versions of different pools are not comparable.
    pub pool: PoolName,
    /// The version of their software.
    pub software: SoftwareVersion,
}

/// Which engines may send the next events of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamBinding {
    /// All: the request is no stream.
    #[default]
    Unbound,
    /// Those whose version is stored: the caller has no event yet. While that leaves some out, `draw` picks the version.
    Beginning {
        /// A random number, so that one request sees one choice of engines.
        draw: u32,
    },
    /// Those of the origin's pool and version.
    Origin(StreamOrigin),
    /// None: the version that began the stream is unknown.
    Unknown,
}

impl StreamBinding {
    /// The binding of a stream whose first event came from an engine of `pool` with this software.
    pub fn to(pool: &PoolName, software: Option<&SoftwareVersion>) -> Self {
        match software {
            Some(software) if software.is_known() => Self::Origin(StreamOrigin {
                pool: pool.clone(),
                software: software.clone(),
            }),
            Some(_) | None => Self::Unknown,
        }
    }

    /// Whether an engine of `pool` with this software may send the next events.
    pub fn allows(&self, pool: &PoolName, software: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Unbound => true,
            Self::Beginning { .. } => software.is_some(),
            Self::Origin(origin) => origin.pool == *pool && Some(&origin.software) == software,
            Self::Unknown => false,
        }
    }
}

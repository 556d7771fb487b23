//! Names and counters, each a distinct type so that they cannot be confused.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Defines a cheaply cloned textual identifier.
macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

/// Defines an increasing 64-bit counter.
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

text_identifier!(
    /// Name of an engine; stable across restarts and changes of address.
    EngineId
);
text_identifier!(
    /// Name of a group: the engines of one pool in one zone, controlled under one lease.
    GroupId
);
text_identifier!(
    /// Name of a pool: engines of all zones that serve the same models under the same rules.
    PoolName
);
text_identifier!(
    /// Name of a model, as callers use it.
    ModelName
);
text_identifier!(
    /// Name of an adapter of a model, as callers use it.
    AdapterName
);
text_identifier!(
    /// Version of a model or an adapter.
    Version
);
text_identifier!(
    /// Version of an engine's software, within its pool. Versions are equal or not; they have no order.
    SoftwareVersion
);
impl SoftwareVersion {
    /// Stands for versions that are not known, as of engines that name none. No two of them count as equal.
    pub fn unknown() -> Self {
        Self::from("")
    }

    /// Whether it names a version.
    pub fn is_known(&self) -> bool {
        !self.as_str().is_empty()
    }
}

text_identifier!(
    /// Name of a zone: a failure domain of machines.
    ZoneName
);
text_identifier!(
    /// Name of a node; a restarted process may keep the name and then has a new incarnation.
    NodeId
);
text_identifier!(
    /// Name of a tenant: a customer whose requests share one limit.
    TenantName
);

counter!(
    /// Fencing token of a group's lease: the key-value revision at which it was granted.
    Epoch
);
counter!(
    /// Revision of the key-value service; a configuration is named by the revision that wrote it.
    Revision
);
counter!(
    /// Number of a run of the engine or node with a name; increases with each start under that name.
    Incarnation
);
counter!(
    /// Position in a stream of messages from one writer.
    Sequence
);

impl GroupId {
    /// The group of `pool` in `zone`.
    pub fn of(pool: &PoolName, zone: &ZoneName) -> Self {
        Self::from(format!("{pool}@{zone}"))
    }
}

impl NodeId {
    /// A 32-bit hash of the name. Tags can collide, so a lookup by tag must confirm the node.
    pub fn tag(&self) -> u32 {
        let hash = blake3::hash(self.as_str().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        u32::from_le_bytes([first, second, third, fourth])
    }
}

/// Bits of a revision that count changes within an era; enough for eleven years at 3,200 changes per second.
const NUMBER_BITS: u32 = 40;

impl Revision {
    /// Highest era that a revision can name.
    pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

    /// The revision after `number` changes in `era`. A key-value service that is restored from a backup starts
    /// a new era and continues from the backup's change number. The era is in the high bits, so revisions of a
    /// later era always compare greater.
    pub fn in_era(era: u64, number: u64) -> Self {
        let number = number.min((1 << NUMBER_BITS) - 1);
        Self(era.min(Self::MAX_ERA) << NUMBER_BITS | number)
    }

    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Changes counted within the era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

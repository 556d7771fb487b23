//! Names and counters. Each has its own type so that one cannot be passed for another.

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

/// Defines a rising 64-bit counter.
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
    /// One engine of the fixed fleet; stable over restarts and moves.
    EngineId
);
text_identifier!(
    /// The engines of one pool in one zone, controlled under one lease.
    GroupId
);
text_identifier!(
    /// Engines that serve the same model under the same rules, over all zones.
    PoolName
);
text_identifier!(
    /// A model as callers name it.
    ModelName
);
text_identifier!(
    /// An adapter of a model, as callers name it.
    AdapterName
);
text_identifier!(
    /// A version of a model or an adapter.
    Version
);
text_identifier!(
    /// A zone: machines that fail or are cut off together.
    ZoneName
);
text_identifier!(
    /// One node process; a restarted process may keep the name and then has a new incarnation.
    NodeId
);
text_identifier!(
    /// A tenant: a party whose requests are limited together.
    TenantName
);

counter!(
    /// Fencing token of a group's lease: the key-value revision that granted it.
    Epoch
);
counter!(
    /// Revision of the key-value service; a configuration is named by the revision that wrote it.
    Revision
);
counter!(
    /// Distinguishes runs of an engine or node that keeps its name; rises with each start.
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
    /// A short tag of the name. Two nodes may share one, so it only says where to look first.
    pub fn tag(&self) -> u32 {
        let hash = blake3::hash(self.as_str().as_bytes());
        let [first, second, third, fourth, ..] = *hash.as_bytes();
        u32::from_le_bytes([first, second, third, fourth])
    }
}

/// Bits of a revision that count changes within an era: at 3,200 changes a second they last eleven years.
const NUMBER_BITS: u32 = 40;

impl Revision {
    /// Highest era that a revision can name.
    pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

    /// The revision that counts `number` changes of an era. A service that was restored from an older copy
    /// begins a new era, in which it counts on from the copy's number: revisions of a later era are later.
    pub fn in_era(era: u64, number: u64) -> Self {
        let number = number.min((1 << NUMBER_BITS) - 1);
        Self(era.min(Self::MAX_ERA) << NUMBER_BITS | number)
    }

    /// The era.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Changes counted within the era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

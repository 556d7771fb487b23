//! Who gets the room of a pool that has too little for all that is asked of it.

pub mod shares;
pub mod shortage;
pub mod tenant_meters;

/// How a request stands against its tenant's fair share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareStanding {
    /// Its tenant asks for no more than its share, or the request lies within it.
    #[default]
    Within,
    /// It lies beyond its tenant's share.
    Over,
}

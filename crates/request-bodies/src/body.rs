//! Bodies in segments.

use std::fmt;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::account::{NoMemory, Reservation};

/// Length of a body that is held without a reservation. The memory of its connection has room for it.
const UNRESERVED_BYTES: usize = 4 << 10;

/// Longest segment.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// A received body. Clones share its bytes.
#[derive(Clone, Default)]
pub struct Body {
    segments: Rc<[Bytes]>,
    length: usize,
    /// Kept as long as the bytes are.
    _reservation: Option<Rc<Reservation>>,
}

impl Body {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes, in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// The bytes in one piece; copies them unless they are.
    pub fn to_bytes(&self) -> Bytes {
        match &*self.segments {
            [] => Bytes::new(),
            [only] => only.clone(),
            segments => segments.concat().into(),
        }
    }
}

impl From<Bytes> for Body {
    /// A body whose bytes are not counted in an account.
    fn from(bytes: Bytes) -> Self {
        Self {
            length: bytes.len(),
            segments: Rc::new([bytes]),
            _reservation: None,
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Body({} bytes)", self.length)
    }
}

/// A body that is being received.
pub struct BodyBuilder {
    reservation: Reservation,
    segments: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    declared: Option<usize>,
}

impl BodyBuilder {
    /// A body of which nothing has arrived. `declared` is its length, if the caller has announced one.
    pub fn new(reservation: Reservation, declared: Option<usize>) -> Self {
        Self {
            reservation,
            segments: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            declared,
        }
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The memory that it uses.
    pub fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Appends bytes that have arrived.
    pub async fn append(&mut self, mut bytes: &[u8]) -> Result<(), NoMemory> {
        self.reservation.record_progress();
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.start_segment().await?;
            }
            let room = self.last.capacity() - self.last.len();
            let (taken, rest) = bytes.split_at(bytes.len().min(room));
            self.last.extend_from_slice(taken);
            self.length += taken.len();
            bytes = rest;
        }
        Ok(())
    }

    /// Each segment is as long as all before it, so that short bodies use little and long ones have few.
    async fn start_segment(&mut self) -> Result<(), NoMemory> {
        let expected = self
            .declared
            .map_or(usize::MAX, |length| length.saturating_sub(self.length));
        let capacity = self.length.clamp(UNRESERVED_BYTES, MAX_SEGMENT_BYTES);
        let capacity = capacity.min(expected.max(1));
        if self.length > 0 || capacity > UNRESERVED_BYTES {
            self.reservation.grow(capacity).await?;
        }
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
        Ok(())
    }

    /// The body, which is complete.
    pub fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.segments.push(self.last.freeze());
        }
        self.reservation.complete();
        Body {
            segments: self.segments.into(),
            length: self.length,
            _reservation: Some(Rc::new(self.reservation)),
        }
    }
}

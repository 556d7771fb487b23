//! Bounded in-memory store of decision records.

use std::collections::{HashMap, VecDeque};

use dalestand_types::{EngineId, RequestId};

use crate::{RequestRecord, RoleRecord};

/// Ring buffer of the newest request and role records.
#[derive(Debug)]
pub struct DecisionRing {
    capacity: usize,
    order: VecDeque<RequestId>,
    requests: HashMap<RequestId, RequestRecord>,
    roles: VecDeque<RoleRecord>,
}

impl DecisionRing {
    /// A ring that keeps up to `capacity` records of each kind.
    pub fn new(capacity: usize) -> Self {
        let order = VecDeque::new();
        Self {
            capacity,
            order,
            requests: HashMap::new(),
            roles: VecDeque::new(),
        }
    }

    /// Adds or replaces the record of a request.
    pub fn put_request(&mut self, record: RequestRecord) {
        let request = record.request;
        if self.requests.insert(request, record).is_some() {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
    }

    /// Updates the record of a request if it is still kept.
    pub fn update_request(&mut self, request: RequestId, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.requests.get_mut(&request) {
            change(record);
        }
    }

    /// The record of a request, if it is still kept.
    pub fn request(&self, request: RequestId) -> Option<&RequestRecord> {
        self.requests.get(&request)
    }

    /// Adds a role record.
    pub fn put_role(&mut self, record: RoleRecord) {
        self.roles.push_back(record);
        if self.roles.len() > self.capacity {
            self.roles.pop_front();
        }
    }

    /// Role records of an engine, oldest first.
    pub fn roles_of(&self, engine: &EngineId) -> Vec<RoleRecord> {
        self.roles
            .iter()
            .filter(|record| record.engine == *engine)
            .cloned()
            .collect()
    }
}

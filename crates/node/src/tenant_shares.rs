//! Exchanges the demand of tenants, so that each node knows its part of it.
//!
//! A few nodes keep the sums, chosen by hash among the live ones; each tenant falls to one of
//! them. A node reports the tenants that asked within the last seconds and is told their sums. So
//! a node makes a few calls in an interval, whatever the number of tenants and nodes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_cluster::Cluster;
use dalestand_gateway::SharedState;
use dalestand_routing::{TenantDemand, TenantTotals, summing_node};
use dalestand_types::NodeId;

use crate::peer_calls::{PeerClient, PeerRequest, PeerResponse};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);

/// Nodes that keep sums.
const SUMMING_NODES: usize = 16;

/// Most tenants of one report; those with the largest demand go first.
const MAX_REPORTED: usize = 512;

/// The exchange of one node.
pub(crate) struct TenantShares {
    shared: Arc<SharedState>,
    cluster: Rc<RefCell<Cluster>>,
    peers: PeerClient,
    totals: RefCell<TenantTotals>,
}

impl TenantShares {
    /// An exchange that has heard of no demand.
    pub(crate) fn new(
        shared: Arc<SharedState>,
        cluster: Rc<RefCell<Cluster>>,
        peers: PeerClient,
    ) -> Rc<Self> {
        let totals = RefCell::new(TenantTotals::default());
        Rc::new(Self {
            shared,
            cluster,
            peers,
            totals,
        })
    }

    /// Reports again and again, until dropped.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(REPORT_INTERVAL).await;
            self.report().await;
        }
    }

    /// Takes a node's report in and yields the sums for the tenants it names.
    pub(crate) fn sum(&self, node: &NodeId, demands: &[TenantDemand]) -> Vec<TenantDemand> {
        let now = self.shared.clock.now();
        let mut totals = self.totals.borrow_mut();
        totals.forget_silent(now);
        totals.report(now, node, demands)
    }

    async fn report(&self) {
        let now = self.shared.clock.now();
        let nodes = self.cluster.borrow().member_count() + 1;
        let demands = {
            let mut limits = self.shared.tenant_limits();
            limits.set_nodes(nodes);
            limits.demands(now, MAX_REPORTED)
        };
        for (node, demands) in self.by_summing_node(demands) {
            let sums = self.ask(&node, demands).await;
            let now = self.shared.clock.now();
            self.shared.tenant_limits().observe_totals(now, &sums);
        }
    }

    fn by_summing_node(&self, demands: Vec<TenantDemand>) -> BTreeMap<NodeId, Vec<TenantDemand>> {
        let nodes = self.summing_nodes();
        let mut reports: BTreeMap<NodeId, Vec<TenantDemand>> = BTreeMap::new();
        for demand in demands {
            if let Some(node) = summing_node(&demand.tenant, &nodes) {
                reports.entry(node.clone()).or_default().push(demand);
            }
        }
        reports
    }

    /// The nodes that keep sums: the same for all that know the same members.
    fn summing_nodes(&self) -> Vec<NodeId> {
        let cluster = self.cluster.borrow();
        let members = cluster.members().map(|member| member.node.clone());
        let mut nodes: Vec<NodeId> = members.collect();
        nodes.push(self.shared.node.clone());
        nodes.sort_by_key(|node| (node.tag(), node.clone()));
        nodes.truncate(SUMMING_NODES);
        nodes
    }

    /// Asks a node for the sums. Without an answer the sums known before stand until they are old,
    /// and after that an even share.
    async fn ask(&self, node: &NodeId, demands: Vec<TenantDemand>) -> Vec<TenantDemand> {
        if *node == self.shared.node {
            return self.sum(node, &demands);
        }
        let Some(address) = self.address_of(node) else {
            return Vec::new();
        };
        let reporter = self.shared.node.clone();
        let request = PeerRequest::TenantDemands { reporter, demands };
        match self.peers.call(address, &request).await {
            Ok(PeerResponse::TenantDemands(sums)) => sums,
            _ => Vec::new(),
        }
    }

    fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        let cluster = self.cluster.borrow();
        cluster.member(node).map(|member| member.address)
    }
}

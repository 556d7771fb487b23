//! Exchanges the demand of tenants among nodes, so that each node knows its share of the total.
//!
//! A few live nodes, chosen by hash, add up the demand; each tenant is assigned to one of them. A
//! node reports the demand of its recently active tenants and receives their totals. The number of
//! calls per node is therefore bounded, whatever the number of tenants and nodes.

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

const REPORT_INTERVAL: Duration = Duration::from_secs(3);

/// Number of nodes that add up demand.
const SUMMING_NODES: usize = 16;

/// Maximum number of tenants in a report; the tenants with the largest demand are reported.
const MAX_TENANTS_PER_REPORT: usize = 512;

/// Reports the demand at this node, and adds up the reports that it receives.
pub(crate) struct TenantDemandExchange {
    shared: Arc<SharedState>,
    cluster: Rc<RefCell<Cluster>>,
    peers: PeerClient,
    totals: RefCell<TenantTotals>,
}

impl TenantDemandExchange {
    /// An exchange without any reports.
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

    /// Reports periodically until dropped.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(REPORT_INTERVAL).await;
            self.report().await;
        }
    }

    /// Records a node's report and returns the totals of the tenants in it.
    pub(crate) fn record_report(
        &self,
        node: &NodeId,
        demands: &[TenantDemand],
    ) -> Vec<TenantDemand> {
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
            limits.demands(now, MAX_TENANTS_PER_REPORT)
        };
        for (node, demands) in self.by_summing_node(demands) {
            let totals = self.request_totals(&node, demands).await;
            let now = self.shared.clock.now();
            self.shared.tenant_limits().observe_totals(now, &totals);
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

    /// The nodes that add up demand; nodes with the same view of the membership choose the same
    /// ones.
    fn summing_nodes(&self) -> Vec<NodeId> {
        let cluster = self.cluster.borrow();
        let members = cluster.members().map(|member| member.node.clone());
        let mut nodes: Vec<NodeId> = members.collect();
        nodes.push(self.shared.node.clone());
        nodes.sort_by_key(|node| (node.tag(), node.clone()));
        nodes.truncate(SUMMING_NODES);
        nodes
    }

    /// Reports demands to a summing node and returns the totals. If that fails, the last known
    /// totals remain in use until they are outdated, and an even share is assumed after that.
    async fn request_totals(&self, node: &NodeId, demands: Vec<TenantDemand>) -> Vec<TenantDemand> {
        if *node == self.shared.node {
            return self.record_report(node, &demands);
        }
        let Some(address) = self.address_of(node) else {
            return Vec::new();
        };
        let reporter = self.shared.node.clone();
        let request = PeerRequest::TenantDemands { reporter, demands };
        match self.peers.call(address, &request).await {
            Ok(PeerResponse::TenantDemands(totals)) => totals,
            _ => Vec::new(),
        }
    }

    fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        let cluster = self.cluster.borrow();
        cluster.member(node).map(|member| member.address)
    }
}

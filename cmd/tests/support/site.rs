//! Parts of a small fleet: a deployment of one model in one zone, engines and nodes.

use std::net::SocketAddr;

use super::{Node, Process, post, standin};

/// A deployment file of model `m`, whose pool `p` has these engines in zone `z`; `group` is appended to the group's
/// table.
pub fn deployment(engines: &[&str], group: &str) -> String {
    let names: Vec<String> = engines.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        "format = 1\nname = \"site\"\ncallers.require_key = false\n\
         [[model]]\nname = \"m\"\nversion = \"1\"\nweights_gib = 1.0\n\
         [[pool]]\nname = \"p\"\nmodels = [\"m\"]\n\
         [[group]]\npool = \"p\"\nzone = \"z\"\nengines = [{}]\n{group}",
        names.join(", ")
    )
}

/// Starts an engine with these flags and adds it to the machine list.
pub async fn start_engine(
    name: &str,
    machines: SocketAddr,
    flags: &[&str],
) -> (Process, SocketAddr) {
    let mut arguments = vec!["engine", "--name", name];
    arguments.extend_from_slice(flags);
    let (process, address) = standin(&arguments);
    let machine = serde_json::json!({
        "name": name, "kind": "engine", "zone": "z", "address": address.to_string(),
        "incarnation": 1, "state": "live"
    });
    let (status, _) = post(machines, "/v1/machines", &machine).await;
    assert_eq!(status, 200);
    (process, address)
}

/// The external systems that nodes use.
pub struct Platform {
    pub kv: SocketAddr,
    pub machines: SocketAddr,
    _processes: [Process; 2],
}

impl Platform {
    /// Starts the key-value service and the machine list.
    pub fn start() -> Self {
        let (kv_process, kv) = standin(&["kv"]);
        let (machines_process, machines) = standin(&["machines"]);
        Self {
            kv,
            machines,
            _processes: [kv_process, machines_process],
        }
    }

    /// Starts a node; `settings` is appended to its settings file.
    pub fn start_node(&self, name: &str, zone: &str, settings: &str) -> Node {
        Node::start(&format!(
            "node = \"{name}\"\nzone = \"{zone}\"\ncaller_listen = \"127.0.0.1:0\"\n\
             operator_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
             key_value = \"{}\"\nmachine_list = \"{}\"\nload_poll_ms = 100\n{settings}",
            self.kv, self.machines
        ))
    }
}

/// Applies a deployment file through a node.
pub async fn apply(node: &Node, text: &str) {
    let body = serde_json::json!({"text": text, "author": "test", "expected": null});
    let (status, answer) = post(node.operators, "/apply", &body).await;
    assert_eq!(status, 200, "{answer}");
}

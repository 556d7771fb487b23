//! `roles`: prints the engines of each group by role.

use std::collections::BTreeMap;

use dalestand_node::{EngineRow, StatusResponse};
use dalestand_types::GroupId;
use serde::Serialize;

use super::client::{Client, parse};
use crate::exit::{Exit, failure};

/// The engines of one group, by role.
#[derive(Debug, Default, Serialize)]
struct GroupRoles {
    holder: Option<String>,
    prefill: Vec<String>,
    decode: Vec<String>,
    mixed: Vec<String>,
    out_of_service: Vec<String>,
}

/// Prints the engines of each group by role.
pub(super) async fn roles(client: &Client, json: bool) -> Exit {
    let body = match client.get("/status").await {
        Ok(body) => body,
        Err(error) => return failure(error),
    };
    let status: StatusResponse = match parse(&body) {
        Ok(status) => status,
        Err(error) => return failure(error),
    };
    let groups = by_group(&status);
    if json {
        println!("{}", serde_json::to_string(&groups).unwrap_or_default());
        return Exit::Success;
    }
    for (group, roles) in &groups {
        println!(
            "{group}, held by {}",
            roles.holder.as_deref().unwrap_or("no known node")
        );
        print_line("prefill", &roles.prefill);
        print_line("decode", &roles.decode);
        print_line("mixed", &roles.mixed);
        print_line("out of service", &roles.out_of_service);
    }
    Exit::Success
}

fn print_line(role: &str, engines: &[String]) {
    if !engines.is_empty() {
        println!("  {role}: {}", engines.join(", "));
    }
}

fn by_group(status: &StatusResponse) -> BTreeMap<GroupId, GroupRoles> {
    let mut groups: BTreeMap<GroupId, GroupRoles> = BTreeMap::new();
    for row in &status.engines {
        let roles = groups.entry(row.group.clone()).or_default();
        engines_in_role_of(roles, row).push(row.engine.to_string());
    }
    for (group, holder) in &status.holders {
        groups.entry(group.clone()).or_default().holder = Some(holder.to_string());
    }
    groups
}

fn engines_in_role_of<'g>(roles: &'g mut GroupRoles, row: &EngineRow) -> &'g mut Vec<String> {
    match row.role {
        Some(dalestand_types::Role::Prefill) => &mut roles.prefill,
        Some(dalestand_types::Role::Decode) => &mut roles.decode,
        Some(dalestand_types::Role::Mixed) => &mut roles.mixed,
        None => &mut roles.out_of_service,
    }
}

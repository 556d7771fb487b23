//! Reads a deployment file's tables into their structs, without validation.

use std::collections::BTreeMap;

use dalestand_types::{
    AdapterName, ModelName, PoolName, Priority, Role, TenantName, Version, ZoneName,
};

use crate::deployment::{
    Adapter, CallerRules, Class, Deployment, Group, Limits, Model, Pool, RoleRules, Tenant,
};
use crate::reader::TableReader;

const QUOTED_NAME: &str = "a name in quotes";
const WHOLE_NUMBER: &str = "a whole number";
const MILLISECONDS: &str = "a whole number of milliseconds";
const BOOLEAN: &str = "true or false";

pub(crate) fn read_deployment(table: &TableReader<'_>) -> Deployment {
    Deployment {
        format: table.required("format", "the version of the format, 1", 1),
        name: table.required("name", QUOTED_NAME, String::new()),
        roles: table.table("roles", read_role_rules).unwrap_or_default(),
        callers: table
            .table("callers", read_caller_rules)
            .unwrap_or_default(),
        limits: table.table("limits", read_limits).unwrap_or_default(),
        models: table.tables("model", read_model),
        pools: table.tables("pool", read_pool),
        groups: table.tables("group", read_group),
        classes: table.tables("class", read_class),
        tenants: table.tables("tenant", read_tenant),
    }
}

fn read_role_rules(table: &TableReader<'_>) -> RoleRules {
    let default = RoleRules::default();
    RoleRules {
        change_weight: table.optional_or(
            "change_weight",
            "a number between 0.0 and 1.0",
            default.change_weight,
        ),
        max_changes_at_once: table.optional_or(
            "max_changes_at_once",
            WHOLE_NUMBER,
            default.max_changes_at_once,
        ),
    }
}

fn read_caller_rules(table: &TableReader<'_>) -> CallerRules {
    let default = CallerRules::default();
    CallerRules {
        require_key: table.optional_or("require_key", BOOLEAN, default.require_key),
    }
}

fn read_limits(table: &TableReader<'_>) -> Limits {
    let default = Limits::default();
    Limits {
        max_body_bytes: table.optional_or("max_body_bytes", WHOLE_NUMBER, default.max_body_bytes),
        max_output_tokens: table.optional_or(
            "max_output_tokens",
            WHOLE_NUMBER,
            default.max_output_tokens,
        ),
        default_output_tokens: table.optional_or(
            "default_output_tokens",
            WHOLE_NUMBER,
            default.default_output_tokens,
        ),
    }
}

fn read_model(table: &TableReader<'_>) -> Model {
    Model {
        name: table.required("name", QUOTED_NAME, ModelName::from("")),
        version: table.required("version", "a version in quotes", Version::from("")),
        weights_gib: table.required(
            "weights_gib",
            "the size of the weights in GiB, as 14.0",
            1.0,
        ),
        adapters: table.tables("adapter", read_adapter),
    }
}

fn read_adapter(table: &TableReader<'_>) -> Adapter {
    Adapter {
        name: table.required("name", QUOTED_NAME, AdapterName::from("")),
        version: table.required("version", "a version in quotes", Version::from("")),
    }
}

fn read_pool(table: &TableReader<'_>) -> Pool {
    let roles = "a list of \"prefill\", \"decode\" and \"mixed\"";
    Pool {
        name: table.required("name", QUOTED_NAME, PoolName::from("")),
        models: table.required("models", "a list of model names", Vec::new()),
        repeatable: table.optional_or("repeatable", BOOLEAN, true),
        initial_role: table.optional_or(
            "initial_role",
            "\"prefill\", \"decode\" or \"mixed\"",
            Role::Mixed,
        ),
        roles: table.optional_or("roles", roles, Role::ALL.to_vec()),
    }
}

fn read_group(table: &TableReader<'_>) -> Group {
    Group {
        pool: table.required("pool", "the name of a pool", PoolName::from("")),
        zone: table.required("zone", "the name of a zone", ZoneName::from("")),
        engines: table.required("engines", "a list of engine names", Vec::new()),
        fixed_roles: table.optional_or(
            "fixed_roles",
            "a table of engine names and roles, as { e1 = \"prefill\" }",
            BTreeMap::new(),
        ),
    }
}

fn read_class(table: &TableReader<'_>) -> Class {
    Class {
        name: table.required("name", QUOTED_NAME, String::new()),
        priority: table.required("priority", "a whole number from 0 to 255", Priority(0)),
        first_token_ms: table.required("first_token_ms", MILLISECONDS, 1),
        deadline_ms: table.required("deadline_ms", MILLISECONDS, 1),
    }
}

fn read_tenant(table: &TableReader<'_>) -> Tenant {
    Tenant {
        name: table.required("name", QUOTED_NAME, TenantName::from("")),
        key_blake3: table.required(
            "key_blake3",
            "the BLAKE3 hash of the key, 64 hexadecimal digits",
            String::new(),
        ),
        class: table.required("class", "the name of a class", String::new()),
        tokens_per_second: table.required("tokens_per_second", WHOLE_NUMBER, 1),
        burst_tokens: table.required("burst_tokens", WHOLE_NUMBER, 1),
    }
}

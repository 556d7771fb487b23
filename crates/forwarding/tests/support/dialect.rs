//! The dialect and entry format of a fictitious platform.

use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::routed::{
    Dialect, EngineEntry, EngineRequestOptions, HeldKvCache, RequestMetadata, ResponseMetadata,
    RoleChangeOrder, RoleChangeOutcome, StoreFormat,
};
use dalestand_routes::{ApiKey, PresentedKey, RouteFile};
use dalestand_types::{
    EngineSignals, LimitSignal, PoolName, RequestRate, Role, SoftwareVersion, ZoneName,
};

const ID: HeaderName = HeaderName::from_static("x-id");
const REFUSED: HeaderName = HeaderName::from_static("x-refused");
const UNMARKED: HeaderName = HeaderName::from_static("x-unmarked");
const DRAINS: HeaderName = HeaderName::from_static("x-drains");
const BACKOFF_MS: HeaderName = HeaderName::from_static("x-backoff-ms");
const LIMIT: HeaderName = HeaderName::from_static("x-limit");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const PARTS: HeaderName = HeaderName::from_static("x-parts");
const PROMPT: HeaderName = HeaderName::from_static("x-prompt");
const PREFILL: HeaderName = HeaderName::from_static("x-prefill");
const KV_CACHE: HeaderName = HeaderName::from_static("x-memory");
const KEY: HeaderName = HeaderName::from_static("x-key");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const RESUMES: HeaderName = HeaderName::from_static("x-resumes");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Tokens of each part of a prompt whose parts are listed.
const PART_TOKENS: u32 = 100;

fn part_of_equal_size(id: &str) -> (u64, u32) {
    (id.parse().expect("a part id"), PART_TOKENS)
}

/// Uses plain headers for all properties of requests and answers.
pub struct PlainDialect;

impl Dialect for PlainDialect {
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let deadline: Option<u64> = text(&DEADLINE).and_then(|text| text.parse().ok());
        let prompt: Option<u32> = text(&PROMPT).and_then(|text| text.parse().ok());
        RequestMetadata {
            id: text(&ID).map(Arc::from),
            deadline: deadline.map(Duration::from_millis),
            prompt_tokens: prompt.unwrap_or_default(),
            parts: match text(&PARTS) {
                Some(ids) => ids.split(' ').map(part_of_equal_size).collect(),
                None => prompt.map(|tokens| (1, tokens)).into_iter().collect(),
            },
            last_event: text(&LAST_EVENT).and_then(|text| text.parse().ok()),
            resumes: text(&RESUMES).map(Arc::from),
            key: match text(&KEY) {
                Some(key) => PresentedKey::Key(ApiKey::new(key)),
                None => PresentedKey::Absent,
            },
            ..RequestMetadata::default()
        }
    }

    fn write_request(&self, headers: &mut HeaderMap, options: &EngineRequestOptions<'_>) {
        if let Some(tenant) = options.caller.tenant() {
            headers.remove(KEY);
            let name = HeaderValue::from_str(tenant.name.as_str());
            headers.insert(TENANT, name.expect("a name"));
        }
        if options.prefill_only {
            headers.insert(PREFILL, HeaderValue::from_static("1"));
        }
        if let Some((address, _)) = options.kv_cache {
            let address = HeaderValue::from_str(&address.to_string());
            headers.insert(KV_CACHE, address.expect("an address"));
        }
        if let Some(event) = options.last_event {
            headers.insert(LAST_EVENT, HeaderValue::from(event));
        }
    }

    fn read_answer(&self, _status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text(&ID);
        let backoff_ms: Option<u64> = text(&BACKOFF_MS).and_then(|text| text.parse().ok());
        ResponseMetadata {
            id: id.map(Arc::from),
            refused: headers.contains_key(REFUSED),
            marked: !headers.contains_key(UNMARKED),
            signals: EngineSignals {
                draining: headers.contains_key(DRAINS),
                backoff: backoff_ms.map(Duration::from_millis),
                limit: match text(&LIMIT).map(str::parse) {
                    None => LimitSignal::Absent,
                    Some(rate) => rate
                        .ok()
                        .and_then(RequestRate::per_second)
                        .map_or(LimitSignal::Invalid, LimitSignal::Rate),
                },
            },
        }
    }

    fn read_held_kv_cache(&self, _body: &[u8]) -> Option<HeldKvCache> {
        let name = Arc::from("memory");
        Some(HeldKvCache { name })
    }

    fn free_kv_cache(&self, _cache: &HeldKvCache) -> (Method, String) {
        (Method::DELETE, "/memory".to_owned())
    }

    fn role_change_order(&self, _order: &RoleChangeOrder<'_>) -> (RequestHead, Bytes) {
        (RequestHead::default(), Bytes::new())
    }

    fn read_role_change_outcome(&self, status: StatusCode) -> RoleChangeOutcome {
        RoleChangeOutcome::Refused(status.as_u16())
    }

    fn report_request(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.uri = Uri::from_static("/report");
        head
    }

    fn read_report_sequence(&self, _body: &[u8]) -> Option<u64> {
        None
    }

    fn read_report_start(&self, body: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(body).ok()?;
        text.strip_prefix("started ")?.parse().ok()
    }

    fn cached_parts_request(&self) -> RequestHead {
        RequestHead::default()
    }

    fn read_cached_parts(&self, _body: &[u8]) -> Vec<(u64, u32)> {
        Vec::new()
    }

    fn is_unknown_header(&self, name: &str) -> bool {
        name.starts_with("x-new-")
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

/// Software version of engines whose entries name none.
const DEFAULT_SOFTWARE: &str = "v1";

/// Names no software version in an entry.
const UNKNOWN_SOFTWARE: &str = "unknown";

/// Engine entries are `ADDRESS STATE` or `ADDRESS STATE ROLE`, with optional suffixes ` started TIME` and
/// ` software VERSION`, in this order; declarations are TOML.
pub struct PlainFormat;

impl StoreFormat for PlainFormat {
    fn configuration_key(&self) -> &'static str {
        "declaration"
    }

    fn engine_prefix(&self) -> &'static str {
        "engines/"
    }

    fn read_configuration(&self, value: &str) -> Result<RouteFile, String> {
        toml::from_str(value).map_err(|error| error.to_string())
    }

    fn read_engine(&self, key: &str, value: &str) -> Result<EngineEntry, String> {
        let (value, software) = match value.split_once(" software ") {
            Some((value, UNKNOWN_SOFTWARE)) => (value, None),
            Some((value, software)) => (value, Some(software)),
            None => (value, Some(DEFAULT_SOFTWARE)),
        };
        let (address, state) = value.split_once(' ').ok_or("no state")?;
        let (state, started_at_ms) = match state.split_once(" started ") {
            Some((state, time)) => (state, Some(time.parse().map_err(|_| "no time")?)),
            None => (state, None),
        };
        let (state, role) = state.split_once(' ').unwrap_or((state, ""));
        Ok(EngineEntry {
            run: Arc::from(key),
            started_at_ms,
            pool: PoolName::from("pool"),
            address: address.parse().map_err(|_| "no address")?,
            zone: ZoneName::from("here"),
            slots: 4,
            accepting: state == "ready",
            role: match role {
                "prefill" => Some(Role::Prefill),
                "decode" => Some(Role::Decode),
                _ => None,
            },
            provisioning: ProvisioningModel::OnDemand,
            software: software.map(SoftwareVersion::from),
        })
    }
}

//! Encoded size of messages with fleet-wide statistics.

use dalestand_dissemination::{
    MESSAGE_VERSION, Message, NodeNumber, SumScope, SummedRows, SumsMessage, TenantRow, TenantRows,
};
use dalestand_routing::overload::tenant_meters::MAX_NAMED_TENANTS;
use dalestand_routing::{TenantCode, TenantFigures, WorkRate};
use dalestand_types::{PoolName, TenantName};
use rstest::rstest;

/// Payload that fits one packet.
const PACKET_BYTES: usize = 1_200;

/// Tenants are encoded by code, not by name, so long names must not enlarge the message.
#[rstest]
fn half_of_the_named_tenants_of_a_pool_fit_in_a_packet() {
    let work = WorkRate {
        slots: 123_456.7,
        prompt_tokens_per_s: 9.9e8,
    };
    let row = |number: usize| TenantRow {
        tenant: TenantCode::of(&TenantName::from(format!("{number}").repeat(8 << 10))),
        figures: TenantFigures {
            asked: work,
            begun: work,
        },
    };
    let message = Message::Sums(SumsMessage {
        node: NodeNumber(u64::MAX),
        scope: SumScope::Fleet,
        rows: SummedRows::Tenants(TenantRows {
            pool: PoolName::from("guide-llm"),
            priority: 2,
            rows: (0..MAX_NAMED_TENANTS / 2).map(row).collect(),
        }),
    });
    let bytes = rmp_serde::to_vec(&(MESSAGE_VERSION, message)).expect("a message");
    assert!(bytes.len() <= PACKET_BYTES, "{} bytes", bytes.len());
}

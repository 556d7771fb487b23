//! Callers are identified by API keys, and keys never appear in errors or debug output.

use dalestand_routes::{ApiKey, Caller, PresentedKey, RouteFileError, RouteTable, Unauthorized};
use proptest::prelude::*;
use rstest::rstest;

const ROUTES: &str = r#"
revision = 7

[[pool]]
name = "captions"
max_connections = 300

[[route]]
name = "caption"
host = "archive.example"
path_prefix = "/caption/"
kind = "stream"
pools = [{ pool = "captions", weight = 1 }]
time_limit_ms = 5000
objective_ms = 500
max_attempts = 1

[[route]]
name = "open"
host = "archive.example"
path_prefix = "/open/"
kind = "once"
pools = [{ pool = "captions", weight = 1 }]
time_limit_ms = 5000
objective_ms = 500
max_attempts = 1
allow_anonymous = true
"#;

const TENANTS: &str = r#"
[[tenant]]
name = "registrars"
keys = ["first-key", "second-key"]
priority = 0

[[tenant]]
name = "curators"
keys = ["third-key"]
"#;

fn table(tenants: &str) -> RouteTable {
    RouteTable::parse(&format!("{ROUTES}{tenants}")).expect("a valid file")
}

fn key(text: &str) -> PresentedKey {
    PresentedKey::Key(ApiKey::new(text))
}

fn identified(table: &RouteTable, path: &str, key: &PresentedKey) -> Result<String, Unauthorized> {
    let route = table.find("archive.example", path).expect("a route");
    let caller = table.authenticate(route, key)?;
    Ok(match caller {
        Caller::Untenanted => "untenanted".to_owned(),
        Caller::Anonymous => "anonymous".to_owned(),
        Caller::Tenant(tenant) => format!("{} {:?}", tenant.name, tenant.priority),
    })
}

#[rstest]
#[case::valid("/caption/1", key("second-key"), Ok("registrars Some(0)"))]
#[case::of_another_tenant("/caption/1", key("third-key"), Ok("curators None"))]
#[case::unknown("/caption/1", key("fourth-key"), Err(Unauthorized))]
#[case::prefix_of_a_key("/caption/1", key("first"), Err(Unauthorized))]
#[case::empty("/caption/1", key(""), Err(Unauthorized))]
#[case::absent("/caption/1", PresentedKey::Absent, Err(Unauthorized))]
#[case::malformed("/caption/1", PresentedKey::Malformed, Err(Unauthorized))]
#[case::anonymous_without_key("/open/1", PresentedKey::Absent, Ok("anonymous"))]
#[case::anonymous_with_key("/open/1", key("first-key"), Ok("registrars Some(0)"))]
#[case::anonymous_with_unknown_key("/open/1", key("fourth-key"), Err(Unauthorized))]
#[case::anonymous_with_malformed_key("/open/1", PresentedKey::Malformed, Err(Unauthorized))]
fn callers_are_identified_by_their_keys(
    #[case] path: &str,
    #[case] key: PresentedKey,
    #[case] expected: Result<&str, Unauthorized>,
) {
    let found = identified(&table(TENANTS), path, &key);
    assert_eq!(found, expected.map(str::to_owned));
}

#[rstest]
#[case(key("first-key"))]
#[case(PresentedKey::Absent)]
#[case(PresentedKey::Malformed)]
fn without_tenants_keys_are_ignored(#[case] key: PresentedKey) {
    let found = identified(&table(""), "/caption/1", &key);
    assert_eq!(found, Ok("untenanted".to_owned()));
}

#[rstest]
fn all_tenant_errors_are_reported_without_keys() {
    let tenants = r#"
[[tenant]]
name = "one"
keys = ["same-key", ""]

[[tenant]]
name = "one"
keys = ["same-key"]
"#;
    let errors = RouteTable::parse(&format!("{ROUTES}{tenants}")).expect_err("errors");
    assert_eq!(
        errors,
        [
            RouteFileError::EmptyKey("one".into()),
            RouteFileError::DuplicateTenant("one".into()),
            RouteFileError::DuplicateKey("one".into()),
        ]
    );
    assert!(!format!("{errors:?}").contains("same-key"));
}

#[rstest]
#[case("0.0", "0")]
#[case("-2.5", "-2.5")]
#[case("nan", "NaN")]
#[case("inf", "inf")]
fn invalid_weights_are_all_reported(#[case] weight: &str, #[case] shown: &str) {
    let tenant = |name| format!("[[tenant]]\nname = \"{name}\"\nweight = {weight}\n");
    let text = format!("{ROUTES}{}{}", tenant("one"), tenant("two"));
    let errors = RouteTable::parse(&text).expect_err("errors");
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let expected = ["one", "two"]
        .map(|name| format!("tenant {name}: weight {shown} must be a number above 0"));
    assert_eq!(errors, expected);
}

#[rstest]
fn only_declared_weights_are_kept() {
    let weighted = "[[tenant]]\nname = \"weighted\"\nweight = 2.5\n";
    let table = table(&format!("{TENANTS}{weighted}"));
    let weights = table.tenants();
    let weights = weights.filter_map(|tenant| Some((tenant.name.as_str(), tenant.weight?)));
    let weights: Vec<_> = weights.collect();
    assert_eq!(weights, [("weighted", 2.5)]);
}

proptest! {
    #[test]
    fn no_debug_text_contains_a_key(text in "[a-z0-9]{12,24}") {
        let tenants = format!("[[tenant]]\nname = \"one\"\nkeys = [\"{text}\"]\n");
        let table = table(&tenants);
        let presented = key(&text);
        let shown = [
            format!("{table:?}"),
            format!("{presented:?}"),
            format!("{:?}", identified(&table, "/caption/1", &presented)),
        ];
        prop_assert!(shown.iter().all(|shown| !shown.contains(&text)));
    }
}

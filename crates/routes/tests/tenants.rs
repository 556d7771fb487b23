//! Tenants: whose request it is, and what is never shown.

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
    RouteTable::parse(&format!("{ROUTES}{tenants}")).expect("a sound file")
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
#[case::known("/caption/1", key("second-key"), Ok("registrars Some(0)"))]
#[case::of_another_tenant("/caption/1", key("third-key"), Ok("curators None"))]
#[case::unknown("/caption/1", key("fourth-key"), Err(Unauthorized))]
#[case::a_part_of_a_key("/caption/1", key("first"), Err(Unauthorized))]
#[case::empty("/caption/1", key(""), Err(Unauthorized))]
#[case::absent("/caption/1", PresentedKey::Absent, Err(Unauthorized))]
#[case::malformed("/caption/1", PresentedKey::Malformed, Err(Unauthorized))]
#[case::open_without("/open/1", PresentedKey::Absent, Ok("anonymous"))]
#[case::open_with("/open/1", key("first-key"), Ok("registrars Some(0)"))]
#[case::open_with_unknown("/open/1", key("fourth-key"), Err(Unauthorized))]
#[case::open_with_malformed("/open/1", PresentedKey::Malformed, Err(Unauthorized))]
fn callers_are_known_by_their_keys(
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
fn without_tenants_keys_mean_nothing(#[case] key: PresentedKey) {
    let found = identified(&table(""), "/caption/1", &key);
    assert_eq!(found, Ok("untenanted".to_owned()));
}

#[rstest]
fn faults_of_tenants_are_all_listed_without_their_keys() {
    let tenants = r#"
[[tenant]]
name = "one"
keys = ["same-key", ""]

[[tenant]]
name = "one"
keys = ["same-key"]
"#;
    let faults = RouteTable::parse(&format!("{ROUTES}{tenants}")).expect_err("faults");
    assert_eq!(
        faults,
        [
            RouteFileError::EmptyKey("one".into()),
            RouteFileError::TenantTwice("one".into()),
            RouteFileError::KeyTwice("one".into()),
        ]
    );
    assert!(!format!("{faults:?}").contains("same-key"));
}

#[rstest]
#[case("0.0", "0")]
#[case("-2.5", "-2.5")]
#[case("nan", "NaN")]
#[case("inf", "inf")]
fn weights_that_are_no_numbers_above_0_are_all_listed(#[case] weight: &str, #[case] shown: &str) {
    let tenant = |name| format!("[[tenant]]\nname = \"{name}\"\nweight = {weight}\n");
    let text = format!("{ROUTES}{}{}", tenant("one"), tenant("two"));
    let faults = RouteTable::parse(&text).expect_err("faults");
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let expected = ["one", "two"]
        .map(|name| format!("tenant {name}: weight {shown} must be a number above 0"));
    assert_eq!(faults, expected);
}

#[rstest]
fn weights_are_kept_of_those_who_have_one() {
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

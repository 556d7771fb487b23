//! Parts of a deployment file.

use std::fmt::Write as _;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::parts::PartedText;

fn config() -> Config {
    Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_text_is_put_together_again_from_its_parts(text in "(\\[\\[|[a-zé]|\n){0,200}") {
        prop_assert_eq!(PartedText::cut(&text).text(), Some(text));
    }
}

fn file(tenants: usize, changed: usize) -> String {
    let mut text = String::from("format = 1\nname = \"d\"\n");
    for tenant in 0..tenants {
        let rate = 1_000 + u32::from(tenant == changed);
        let _ = write!(text, "\n[[tenant]]\nname = \"t{tenant}\"\nrate = {rate}\n");
    }
    text
}

#[test]
fn a_change_of_one_table_changes_at_most_three_parts() {
    let before = PartedText::cut(&file(15_000, 15_000));
    assert!(before.names.len() > 100, "{} parts", before.names.len());
    for changed in [0, 7_500, 14_999] {
        let after = PartedText::cut(&file(15_000, changed));
        let new = after
            .names
            .iter()
            .filter(|name| !before.parts.contains_key(name));
        let count = new.count();
        assert!((1..=3).contains(&count), "{count} new parts");
    }
}

#[test]
fn parts_stay_small() {
    let long_line_free = "x = 1\n".repeat(20_000);
    let parted = PartedText::cut(&long_line_free);
    assert!(parted.parts.values().all(|part| part.len() <= 17 << 10));
    assert_eq!(parted.text(), Some(long_line_free));
}

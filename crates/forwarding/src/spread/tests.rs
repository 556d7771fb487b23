//! The share of a node's link that notices take.

use std::time::Duration;

use rstest::rstest;

use super::{LONGEST_PAUSE, NOTICES_LINK_SHARE, pause};
use crate::settings::{ForwardingSettings, SettingsFault};

fn settings(link: &str) -> ForwardingSettings {
    parsed(link).expect("sound settings")
}

fn parsed(link: &str) -> Result<ForwardingSettings, Vec<SettingsFault>> {
    let text = format!(
        "node = \"n\"\nzone = \"z\"\ncaller_listen = \"127.0.0.1:1\"\n\
         ready_listen = \"127.0.0.1:2\"\npeer_listen = \"127.0.0.1:3\"\nkey_value = \"127.0.0.1:4\"\n\
         {link}[retries]\nratio = 0.2\nslack = 50\nwindow_s = 10\n[stop]\ngrace_s = 8\n\
         [roles]\nlease_ms = 3000\n"
    );
    ForwardingSettings::parse(&text)
}

/// Found on a grown site: a notice to 65 peers was some 40 KB, one went out for each change of work,
/// and links of 10 Mbit/s carried nothing else.
#[rstest]
fn notices_leave_callers_their_share_of_the_link() {
    const NOTICES_BYTES: usize = 40_000;
    let settings = settings("link_mbps = 10.0\n");
    let carried = settings.link_time(NOTICES_BYTES);
    assert_eq!(carried, Duration::from_millis(32));
    let pause = pause(&settings, NOTICES_BYTES);
    assert!(carried.as_secs_f64() / pause.as_secs_f64() <= NOTICES_LINK_SHARE + 1e-9);
}

#[rstest]
#[case::a_link_without_bounds("", 40_000, Duration::ZERO)]
#[case::nothing_sent("link_mbps = 10.0\n", 0, Duration::ZERO)]
#[case::a_link_that_hardly_carries("link_mbps = 0.001\n", 40_000, LONGEST_PAUSE)]
fn the_pause_is_bounded(#[case] link: &str, #[case] bytes: usize, #[case] expected: Duration) {
    assert_eq!(pause(&settings(link), bytes), expected);
}

#[rstest]
fn a_link_without_speed_is_a_fault() {
    let faults = parsed("link_mbps = 0.0\n").expect_err("a fault");
    assert!(
        matches!(
            faults[..],
            [SettingsFault::OutOfBounds {
                field: "link_mbps",
                ..
            }]
        ),
        "{faults:?}"
    );
}
